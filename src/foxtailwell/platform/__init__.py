"""Adapter to the platform: decodes each message once into the product's types."""
