"""Answers have the format that clients of compatible APIs expect."""

from __future__ import annotations

import json

from standins.fleet import LAYERS, Fleet
from standins.model_function import reference_answer

from .callers import KEY

BODY = {
    "model": "captions",
    "max_tokens": 5,
    "messages": [{"role": "user", "content": "hello"}],
    "temperature": 0.7,
}
PROMPT = "user: hello"


def test_chat_complete(fleet: Fleet) -> None:
    url = f"{fleet.url('entry-c1')}/v1/chat/completions"
    answer = fleet.client.post(url, json=BODY, headers=KEY).json()
    assert answer["object"] == "chat.completion"
    assert answer["choices"][0]["message"]["role"] == "assistant"
    assert answer["choices"][0]["message"]["content"] == reference_answer(PROMPT, LAYERS, 5)
    assert answer["choices"][0]["finish_reason"] == "length"
    assert answer["usage"]["completion_tokens"] == 5


def test_chat_stream(fleet: Fleet) -> None:
    url = f"{fleet.url('entry-c1')}/v1/chat/completions"
    response = fleet.client.post(url, json=BODY | {"stream": True}, headers=KEY)
    assert response.headers["content-type"].startswith("text/event-stream")
    events = [line[6:] for line in response.text.splitlines() if line.startswith("data: ")]
    assert events[-1] == "[DONE]"
    chunks = [json.loads(event) for event in events[:-1]]
    text = "".join(chunk["choices"][0]["delta"].get("content", "") for chunk in chunks)
    assert text == reference_answer(PROMPT, LAYERS, 5)
    assert {chunk["object"] for chunk in chunks} == {"chat.completion.chunk"}


def test_policy_denies_and_pipelines_are_listed(fleet: Fleet) -> None:
    headers = {"authorization": "Bearer key-of-batch"}
    url = f"{fleet.url('entry-a1')}/v1/chat/completions"
    denied = fleet.client.post(url, json=BODY | {"max_tokens": 600}, headers=headers)
    assert denied.json()["error"]["type"] == "policy_denied"
    assert "512" in denied.json()["error"]["message"]
    listed = fleet.client.get(f"{fleet.url('entry-a1')}/v1/models", headers=headers).json()
    assert {item["id"] for item in listed["data"]} == {"captions", "previews"}
