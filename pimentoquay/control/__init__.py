"""The control process of a VM: its composition root and the parts it runs."""

__all__: list[str] = []
