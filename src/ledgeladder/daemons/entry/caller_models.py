"""What callers send, checked at the border."""

from __future__ import annotations

from typing import Annotated, Any

import msgspec
from pydantic import BaseModel, ConfigDict, Field

MODEL_LENGTH_LIMIT = 63


class _CallerBody(BaseModel):
    # Clients of such interfaces send many options; those without meaning here are passed over.
    model_config = ConfigDict(extra="ignore", frozen=True)

    model: Annotated[str, Field(min_length=1, max_length=MODEL_LENGTH_LIMIT)]
    """Name of the pipeline."""

    max_tokens: Annotated[int, Field(ge=1, le=100_000)] = 16
    """Most tokens of the answer."""

    stream: bool = False
    """True for server-sent events."""


class CompletionBody(_CallerBody):
    """Body of `POST /v1/completions`."""

    prompt: str
    """Prompt."""


class ChatMessage(BaseModel):
    """One message of a conversation."""

    model_config = ConfigDict(extra="ignore", frozen=True)

    role: Annotated[str, Field(min_length=1, max_length=32)]
    """Who speaks."""

    content: str
    """What is said."""


class ChatBody(_CallerBody):
    """Body of `POST /v1/chat/completions`."""

    messages: Annotated[tuple[ChatMessage, ...], Field(min_length=1, max_length=1000)]
    """The conversation."""


def chat_prompt(body: ChatBody) -> str:
    """Write a conversation as one prompt."""
    return "\n".join(f"{message.role}: {message.content}" for message in body.messages)


class AnswerLabel(msgspec.Struct, frozen=True, kw_only=True):
    """What every object of one answer repeats."""

    request_id: str
    """Id of the request."""

    model: str
    """Name of the pipeline."""

    created: int
    """When the answer was begun, in seconds since 1970."""

    chat: bool
    """True for the chat shape."""


def answer_object(label: AnswerLabel, text: str, finish: str | None) -> dict[str, Any]:
    """Build a whole answer in the shape that clients of such interfaces read."""
    content = {"message": {"role": "assistant", "content": text}} if label.chat else {"text": text}
    return _object(label, "chat.completion", content, finish)


def chunk_object(label: AnswerLabel, text: str, finish: str | None) -> dict[str, Any]:
    """Build one event of a streamed answer."""
    delta = {"content": text} if text else {}
    content: dict[str, Any] = {"delta": delta} if label.chat else {"text": text}
    return _object(label, "chat.completion.chunk", content, finish)


def _object(
    label: AnswerLabel, chat_kind: str, content: dict[str, Any], finish: str | None
) -> dict[str, Any]:
    return {
        "id": label.request_id,
        "object": chat_kind if label.chat else "text_completion",
        "created": label.created,
        "model": label.model,
        "choices": [{"index": 0, "finish_reason": finish} | content],
    }
