"""Encodes and decodes the JSON documents in the store and checks their schema version."""

from __future__ import annotations

from typing import TypeVar

import msgspec

from foxtailwell.adapters.malformed import MALFORMED
from foxtailwell.adapters.ranges import decode_in_range
from foxtailwell.core.errors import DocumentError, UnsupportedSchemaError

__all__ = ["decode_document", "encode_document"]

T = TypeVar("T")


class _SchemaHeader(msgspec.Struct):
    schema_version: int = 0


def encode_document(document: object) -> str:
    """Encode a document as JSON text; data classes are encoded by their fields."""
    return msgspec.json.encode(document).decode()


def decode_document(text: str | bytes, kind: type[T], *, supported_version: int = 1) -> T:
    """Decode a document after checking its schema version.

    Args:
        text: JSON text from the store.
        kind: Data class to decode into.
        supported_version: Highest schema version that this release can read.

    Raises:
        UnsupportedSchemaError: The schema version is higher, so a newer release wrote the document.
        DocumentError: The text is not JSON, does not match the fields of `kind`, or has a number
            out of range.
    """
    body = text.encode() if isinstance(text, str) else text
    try:
        header = msgspec.json.decode(body, type=_SchemaHeader)
        if header.schema_version > supported_version:
            raise UnsupportedSchemaError(
                f"{kind.__name__} has schema version {header.schema_version}, "
                f"this release reads up to {supported_version}",
                "upgrade this instance; the document was left as it is",
            )
        return decode_in_range(body, kind)
    except MALFORMED as error:
        raise DocumentError(
            f"unreadable document: {error}",
            "compare the key with a backup of the store",
        ) from error
