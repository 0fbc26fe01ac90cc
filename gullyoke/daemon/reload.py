"""Reload of the configuration while the daemon serves."""

from __future__ import annotations

import dataclasses
import os
from collections.abc import Mapping
from typing import Final, Protocol

from gullyoke.daemon.configuration import Address, DaemonConfiguration, load_configuration
from gullyoke.daemon.extension import OperatorConfiguration
from gullyoke.errors import ConfigurationError
from gullyoke.runtime.logs import log, log_fields
from gullyoke.runtime.metrics import Metrics

#: The fields that a reload applies; changes of other fields need a restart.
APPLIED_FIELDS: Final = ("engine", "database", "name_service", "stop_after_us")
#: The names in the log of fields that are logged under another name.
LOGGED_NAMES: Final = {
    "name_service": "naming",
    "stop_after_us": "stop",
    "max_descriptors": "sockets",
    "log_level": "level",
}


class AddressedClient(Protocol):
    """A part of the daemon that connects to one address."""

    def update_address(self, address: Address) -> None:
        """Use another address from now on."""


class ConfigurationReloader:
    """Replaces the configuration of a running daemon by the current one on disk.

    If the file is missing, incomplete, invalid or belongs to another server, nothing is applied and
    the configuration in force is kept.
    """

    def __init__(
        self,
        clients: Mapping[str, AddressedClient],
        operator_file: OperatorConfiguration | None,
        metrics: Metrics,
    ) -> None:
        """Create the reloader.

        Args:
            clients: the parts whose address may change, by the field with the address.
            operator_file: the operator's file, which is read again too; None for none.
            metrics: counts the reloads.
        """
        self.clients = clients
        self.operator_file = operator_file
        self.metrics = metrics

    def reload(self, current: DaemonConfiguration) -> DaemonConfiguration:
        """Read the configuration, and apply and log the changes.

        Args:
            current: the configuration in force.

        Returns:
            The configuration in force from now on.
        """
        self.metrics.increment("reloads")
        try:
            new = load_configuration(os.environ, engine_optional=current.engine is None)
        except ConfigurationError as error:
            log.error("configuration kept", extra=log_fields(why=error))
            return current
        mismatch = current.mismatch_with(new)
        if mismatch is not None:
            log.error(
                "configuration kept",
                extra=log_fields(why=f"'{mismatch}' is that of another server"),
            )
            return current
        if self.operator_file is not None and not self.operator_file.reload():
            return current
        return self._apply(current, new)

    def _apply(self, current: DaemonConfiguration, new: DaemonConfiguration) -> DaemonConfiguration:
        changed = new.changed_fields(current)
        for field, client in self.clients.items():
            address = getattr(new, field)
            if field in changed and address is not None:
                client.update_address(address)
        applied = [field for field in changed if field in APPLIED_FIELDS]
        ignored = [field for field in changed if field not in APPLIED_FIELDS]
        log.warning(
            "configuration read",
            extra=log_fields(taken=_logged_names(applied), ignored=_logged_names(ignored)),
        )
        return dataclasses.replace(current, **{field: getattr(new, field) for field in applied})


def _logged_names(changed_fields: list[str]) -> str:
    return ",".join(LOGGED_NAMES.get(field, field) for field in changed_fields) or "-"
