"""JSON documents of the store: encoding, decoding and schema versions."""

from __future__ import annotations

from typing import TypeVar

import msgspec

from foxtailwell.core.errors import DocumentError, UnsupportedSchemaError

__all__ = ["decode_document", "encode_document"]

T = TypeVar("T")


class _SchemaHeader(msgspec.Struct):
    schema_version: int = 0


def encode_document(document: object) -> str:
    """Return a document as JSON text."""
    return msgspec.json.encode(document).decode()


def decode_document(text: str | bytes, kind: type[T], *, supported_version: int = 1) -> T:
    """Decode a document.

    Args:
        text: JSON text from the store.
        kind: Frozen data class of the document.
        supported_version: Newest schema version that this release reads.

    Returns:
        The document.

    Raises:
        UnsupportedSchemaError: The document was written by a newer release.
        DocumentError: The document does not have the fields of its kind.
    """
    header = _decode(text, _SchemaHeader)
    if header.schema_version > supported_version:
        raise UnsupportedSchemaError(
            f"{kind.__name__} has schema version {header.schema_version}, "
            f"this release reads up to {supported_version}",
            "upgrade this instance; the document was left as it is",
        )
    return _decode(text, kind)


def _decode(text: str | bytes, kind: type[T]) -> T:
    try:
        return msgspec.json.decode(text, type=kind)
    except msgspec.DecodeError as error:
        raise DocumentError(
            f"unreadable document: {error}", "compare the key with a backup of the store"
        ) from error
