"""A router for separate prefill and decode pools of language-model engines.

The package holds every process between callers and backend servers. Each topic has a subpackage
whose ``__init__`` states its purpose and lists its public names.
"""

__all__ = ["__version__"]

__version__ = "0.1.0"
