"""coordination: hashes that identify a request across its attempts."""

from hashlib import blake2b


def fingerprint_request(account: str, target: str, body: bytes) -> str:
    """Return a hash that identifies a request across its attempts.

    Headers are not part of the hash, because they differ between attempts.

    :param target: method and path, or model.
    """
    digest = blake2b(digest_size=16)
    for part in (account.encode(), target.encode()):
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    digest.update(body)
    return digest.hexdigest()
