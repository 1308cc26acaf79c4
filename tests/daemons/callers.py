"""Callers for tests against fleets of processes."""

from __future__ import annotations

import json
import socket
import threading
from dataclasses import dataclass, field
from typing import Any

import httpx

from standins.fleet import LAYERS, Fleet
from standins.model_function import reference_answer

KEY = {"authorization": "Bearer key-of-nilayam"}


def accepts(address: tuple[str, int]) -> bool:
    """Return True if connections to a port are accepted."""
    with socket.socket() as caller:
        return caller.connect_ex(address) == 0


def complete(fleet: Fleet, entry: str, prompt: str, count: int) -> httpx.Response:
    """Send a completion request without streaming."""
    body = {"model": "captions", "prompt": prompt, "max_tokens": count}
    url = f"{fleet.url(entry)}/v1/completions"
    return fleet.client.post(url, json=body, headers=KEY, timeout=60)


def answer_is_right(response: httpx.Response, prompt: str, count: int) -> bool:
    text = response.json()["choices"][0]["text"] if response.status_code == 200 else response.text
    return text == reference_answer(prompt, LAYERS, count)


def send_at_most_once(
    fleet: Fleet, entry: str, key: str, *, what: str = "booking", seconds: float = 0.0
) -> httpx.Response:
    """Send a request that may run at most once."""
    headers = KEY | {"idempotency-key": key, "ledgeladder-repeatable": "no"}
    url = f"{fleet.url(entry)}/v1/services/previews/work"
    body = {"what": what, "seconds": seconds}
    return fleet.client.post(url, json=body, headers=headers, timeout=30)


def executions(fleet: Fleet, key: str) -> int:
    """Return how often the services executed a key, by their own counters."""
    total = 0
    for name in fleet.processes:
        if name.startswith("service-"):
            stats = fleet.client.get(f"{fleet.url(name)}/standin/stats", timeout=5).json()
            total += stats.get(key, 0)
    return total


def engine_stats(fleet: Fleet, name: str) -> dict[str, Any]:
    return dict(fleet.client.get(f"{fleet.url(name)}/standin/stats", timeout=5).json())


@dataclass(kw_only=True)
class Stream:
    """A streaming request that a thread reads while the test injects faults."""

    fleet: Fleet
    entry: str
    prompt: str
    count: int
    text: str = ""
    done: bool = False
    error: dict[str, Any] | None = None
    usage: dict[str, Any] = field(default_factory=dict)
    thread: threading.Thread = field(init=False)

    def __post_init__(self) -> None:
        self.thread = threading.Thread(target=self.read, daemon=True)
        self.thread.start()

    def read(self) -> None:
        body = {
            "model": "captions",
            "prompt": self.prompt,
            "max_tokens": self.count,
            "stream": True,
        }
        url = f"{self.fleet.url(self.entry)}/v1/completions"
        try:
            with self.fleet.client.stream("POST", url, json=body, headers=KEY) as response:
                if response.status_code != 200:
                    self.error = json.loads(response.read())["error"]
                    return
                for line in response.iter_lines():
                    self.handle_line(line)
        except httpx.HTTPError as error:
            self.error = {"type": type(error).__name__}

    def handle_line(self, line: str) -> None:
        if line == "data: [DONE]":
            self.done = True
        elif line.startswith("data: "):
            event = json.loads(line[6:])
            if "error" in event:
                self.error = event["error"]
                return
            self.text += event["choices"][0]["text"]
            self.usage = event.get("usage", self.usage)

    @property
    def tokens(self) -> int:
        return self.text.count(" ")

    def join(self) -> None:
        self.thread.join(60)
        assert not self.thread.is_alive()

    @property
    def is_complete(self) -> bool:
        right = self.text == reference_answer(self.prompt, LAYERS, self.count)
        return self.done and right and self.error is None
