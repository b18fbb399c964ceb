"""Serve one base model behind many thousands of LoRA adapters."""

__version__ = "0.1.0"
