"""transport: keep the memory of freed bodies from staying with the process.

The allocator of glibc raises the size from which it maps memory of its own to the size
of each block that is freed, up to 32 MB. Large bodies then come from the heap, which
they leave fragmented. With a fixed size, each large body has a mapping that ends with
it.
"""

import ctypes

# Parameter number of `mallopt` in glibc's malloc.h.
M_MMAP_THRESHOLD = -3
MMAP_THRESHOLD_BYTES = 131_072


def return_large_blocks() -> bool:
    """Fix the size from which blocks are mapped; return whether this succeeded.

    C libraries other than glibc have no such function, or one without effect.
    """
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt is None:
        return False
    return bool(mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES))
