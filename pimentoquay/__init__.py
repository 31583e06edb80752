"""A router for separate prefill and decode pools of language-model engines.

The package contains all processes between callers and backend servers. Each subpackage covers one
topic; its ``__init__`` states the purpose and lists the public names.
"""

__all__ = ["__version__"]

__version__ = "0.1.0"
