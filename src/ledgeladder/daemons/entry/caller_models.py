"""What callers send, checked at the border."""

from __future__ import annotations

from typing import Annotated, Any

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


def answer_object(
    *, chat: bool, request_id: str, model: str, created: int, text: str, finish: str | None
) -> dict[str, Any]:
    """Build a whole answer in the shape that clients of such interfaces read."""
    choice: dict[str, Any] = {"index": 0, "finish_reason": finish}
    if chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    kind = "chat.completion" if chat else "text_completion"
    return {
        "id": request_id,
        "object": kind,
        "created": created,
        "model": model,
        "choices": [choice],
    }


def chunk_object(
    *, chat: bool, request_id: str, model: str, created: int, text: str, finish: str | None
) -> dict[str, Any]:
    """Build one event of a streamed answer."""
    choice: dict[str, Any] = {"index": 0, "finish_reason": finish}
    if chat:
        choice["delta"] = {"content": text} if text else {}
    else:
        choice["text"] = text
    kind = "chat.completion.chunk" if chat else "text_completion"
    return {
        "id": request_id,
        "object": kind,
        "created": created,
        "model": model,
        "choices": [choice],
    }
