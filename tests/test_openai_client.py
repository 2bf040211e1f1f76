"""Test that an unmodified openai client package works against an entry."""

import openai
from openai import OpenAI
from testtools import TestCase

from bench.process_fleet import KEY, ProcessFleet
from lacewingcleat.engine_stand_in import answer_tokens

PROMPT = [{"role": "user", "content": "a loop layout"}]


class OpenaiClientTest(TestCase):
    fleet: ProcessFleet

    @classmethod
    def setUpClass(cls) -> None:
        super().setUpClass()
        cls.fleet = ProcessFleet(token_seconds=0.005)
        try:
            cls.fleet.start()
        except BaseException:
            cls.fleet.stop()
            raise

    @classmethod
    def tearDownClass(cls) -> None:
        cls.fleet.stop()
        super().tearDownClass()

    def _client(self, key: str = KEY) -> OpenAI:
        address = self.fleet.request_by_entry["entry-1"]
        return OpenAI(base_url=f"http://{address}/v1", api_key=key, max_retries=0)

    def test_plain_answer(self) -> None:
        """Guards against a response that the client cannot parse."""
        answer = self._client().chat.completions.create(
            model="drafting",
            messages=PROMPT,
            max_tokens=5,
        )
        expected = "".join(answer_tokens("a loop layout", 5))
        self.assertEqual(expected, answer.choices[0].message.content)

    def test_streamed_answer(self) -> None:
        """Guards against stream events that the client cannot parse."""
        stream = self._client().chat.completions.create(
            model="drafting",
            messages=PROMPT,
            max_tokens=9,
            stream=True,
        )
        parts = [chunk.choices[0].delta.content or "" for chunk in stream]
        self.assertEqual(answer_tokens("a loop layout", 9), parts)

    def test_model_list(self) -> None:
        """Guards against a model list that the client cannot parse."""
        models = [model.id for model in self._client().models.list()]
        self.assertEqual(["drafting"], models)

    def test_wrong_key(self) -> None:
        """Guards against a refused key that the client reports as another error."""
        error = self.assertRaises(
            openai.AuthenticationError,
            self._client("wrong").models.list,
        )
        self.assertEqual("invalid_api_key", error.code)

    def test_unknown_model(self) -> None:
        """Guards against an unknown model that is reported as a server error."""
        error = self.assertRaises(
            openai.NotFoundError,
            self._client().chat.completions.create,
            model="no-such",
            messages=PROMPT,
        )
        self.assertEqual("model_not_found", error.code)

    def test_limit_reached(self) -> None:
        """Guards against a limit refusal without status 429 and `Retry-After`."""
        client = self._client("demo-small")

        def exceed() -> None:
            for _ in range(30):
                client.chat.completions.create(
                    model="drafting",
                    messages=PROMPT,
                    max_tokens=1,
                )

        error = self.assertRaises(openai.RateLimitError, exceed)
        self.assertIn("retry-after", error.response.headers)
