"""Models of request bodies from callers, and of the objects in answers."""

from __future__ import annotations

from typing import Annotated, Any

import msgspec
from pydantic import BaseModel, ConfigDict, Field

MAX_MODEL_LENGTH = 63
"""Maximum length of the name of a pipeline, in characters."""


class _CallerBody(BaseModel):
    # Clients of compatible APIs send options that are not supported here. They are ignored.
    model_config = ConfigDict(extra="ignore", frozen=True)

    model: Annotated[str, Field(min_length=1, max_length=MAX_MODEL_LENGTH)]
    """Name of the pipeline."""

    max_tokens: Annotated[int, Field(ge=1, le=100_000)] = 16
    """Maximum number of tokens of the answer."""

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
    """Role of the author."""

    content: str
    """Text of the message."""


class ChatBody(_CallerBody):
    """Body of `POST /v1/chat/completions`."""

    messages: Annotated[tuple[ChatMessage, ...], Field(min_length=1, max_length=1000)]
    """Messages of the conversation, oldest first."""


def chat_prompt(body: ChatBody) -> str:
    """Format a conversation as one prompt."""
    return "\n".join(f"{message.role}: {message.content}" for message in body.messages)


class AnswerMetadata(msgspec.Struct, frozen=True, kw_only=True):
    """Fields that every object of an answer repeats."""

    request_id: str
    """Id of the request."""

    model: str
    """Name of the pipeline."""

    created: int
    """Time at which the answer was started, in seconds since 1970."""

    chat: bool
    """True for the format of chat completions."""


def answer_object(metadata: AnswerMetadata, text: str, finish: str | None) -> dict[str, Any]:
    """Build a complete answer in the format of the compatible API."""
    content = (
        {"message": {"role": "assistant", "content": text}} if metadata.chat else {"text": text}
    )
    return _object(metadata, "chat.completion", content, finish)


def chunk_object(metadata: AnswerMetadata, text: str, finish: str | None) -> dict[str, Any]:
    """Build one event of a streamed answer."""
    delta = {"content": text} if text else {}
    content: dict[str, Any] = {"delta": delta} if metadata.chat else {"text": text}
    return _object(metadata, "chat.completion.chunk", content, finish)


def _object(
    metadata: AnswerMetadata, chat_kind: str, content: dict[str, Any], finish: str | None
) -> dict[str, Any]:
    return {
        "id": metadata.request_id,
        "object": chat_kind if metadata.chat else "text_completion",
        "created": metadata.created,
        "model": metadata.model,
        "choices": [{"index": 0, "finish_reason": finish} | content],
    }
