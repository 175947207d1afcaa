"""Global traffic steering between callers and the targets that serve them."""

__version__ = "0.1.0"
