"""Reads an operator's file into the types of wanted.py."""

from __future__ import annotations

from collections.abc import Iterator

from google.protobuf.message import Message

from gullyoke.operator_config import operator_pb2 as schema
from gullyoke.operator_config.checked import parse_checked
from gullyoke.operator_config.wanted import (
    Address,
    ApplicationLeaseSection,
    BackEnd,
    BackendsSection,
    DutiesSection,
    EjectionSection,
    FleetSection,
    ListenerSection,
    OperatorSettings,
    PoolsSection,
    SharesSection,
    StoreSection,
)


def read(path: str) -> OperatorSettings:
    """Read an operator's file and return its settings.

    Raises:
        OperatorFileError: the file can't be read or is invalid; with all faults, in the order of
            their lines.
    """
    return convert(parse_checked(path, schema.Operator(), relation_faults))


def relation_faults(parsed: schema.Operator) -> Iterator[tuple[str, str]]:
    """Yield the conflicts between fields, each as the key of a field and a description."""
    names: set[str] = set()
    addresses: set[str] = set()
    for i, entry in enumerate(parsed.listener):
        if entry.name in names or entry.name in ("gateway", "engine", "database", "naming"):
            yield (
                f"listener[{i}].name",
                f"{entry.name!r} is taken; right would be a name of its own",
            )
        if entry.address in addresses:
            yield (
                f"listener[{i}].address",
                f"{entry.address!r} stands twice; right would be one of its own",
            )
        names.add(entry.name)
        addresses.add(entry.address)
    addresses.clear()
    handlers: dict[str, str] = {}
    for i, pool in enumerate(getattr(parsed.pools, "class")):
        for j, handler in enumerate(pool.handler):
            if handler in handlers:
                why = f"{handler!r} is in {handlers[handler]!r}; right would be once"
                yield f"pools.class[{i}].handler[{j}]", why
            handlers[handler] = pool.name
    for i, back_end in enumerate(parsed.backends.backend):
        if back_end.address in addresses:
            yield (
                f"backends.backend[{i}].address",
                f"{back_end.address!r} stands twice; right would be once",
            )
        addresses.add(back_end.address)
        least, most = connection_limits(back_end)
        if least > most:
            yield (
                f"backends.backend[{i}].most",
                f"{most} is under least; right would be {least} or more",
            )
    datagram_addresses = {parsed.fleet.listen, parsed.fleet.advertise} - {""}
    for i, seed in enumerate(parsed.fleet.seed):
        if seed in parsed.fleet.seed[:i]:
            yield f"fleet.seed[{i}]", f"{seed!r} stands twice; right would be once"
    if parsed.HasField("fleet") and parsed.fleet.status in datagram_addresses:
        yield "fleet.status", "it is the address of the datagrams; right would be one of its own"
    names, homes = set(), parsed.fleet.shares.home
    for i, home in enumerate(homes):
        if home.name in names:
            yield f"fleet.shares.home[{i}].name", f"{home.name!r} stands twice; right would be once"
        names.add(home.name)
    if homes and not parsed.fleet.shares.slots and not parsed.fleet.shares.quotas:
        yield "fleet.shares", "neither slots nor quotas are shared; right would be slots or quotas"
    if homes and len(homes) % 2 == 0:
        yield "fleet.shares.home", f"{len(homes)} of them; right would be an odd number"
    if parsed.HasField("duties"):
        yield from duties_faults(parsed)
    if parsed.backends.subset and not parsed.HasField("fleet"):
        yield (
            "backends.subset",
            "there is no fleet to choose by; right would be fleet { ... } as well",
        )
    eject_fields = parsed.backends.ejection
    first = eject_fields.first_out_ms or 1000
    if eject_fields.HasField("longest_out_ms") and eject_fields.longest_out_ms < first:
        yield (
            "backends.ejection.longest_out_ms",
            f"{eject_fields.longest_out_ms} is under first_out_ms; right would be {first} or more",
        )


def duties_faults(parsed: schema.Operator) -> Iterator[tuple[str, str]]:
    """Yield the conflicts of the section `duties`, each as the key of a field and a description."""
    duties, names = parsed.duties, set()
    if not parsed.HasField("fleet"):
        yield "duties", "there is no fleet; right would be fleet { ... } as well"
    for i, voter in enumerate(duties.voter):
        if voter.name in names:
            yield f"duties.voter[{i}].name", f"{voter.name!r} stands twice; right would be once"
        names.add(voter.name)
    if duties.book and not parsed.fleet.shares.slots:
        yield (
            "duties.book",
            "no slots are shared; right would be fleet.shares { slots: ... } as well",
        )
    if duties.record and not duties.folder:
        yield "duties.record", "it needs a folder; right would be duties.folder as well"
    taken = {"ask", "book", "roll", "record"}
    for i, duty in enumerate(duties.duty):
        if duty.name in taken:
            yield (
                f"duties.duty[{i}].name",
                f"{duty.name!r} is taken; right would be a name of its own",
            )
        taken.add(duty.name)


# Conversion; fields that are not set get their defaults.


def parse_address(text: str) -> Address:
    """Return the path of a Unix socket, or a host and a port."""
    if text.startswith("unix:"):
        return text.removeprefix("unix:")
    host, _, port = text.rpartition(":")
    return host, int(port)


def connection_limits(back_end: schema.Backend) -> tuple[int, int]:
    """Return the least and the greatest limit of a back end's connections."""
    least = back_end.least if back_end.HasField("least") else 1
    return least, back_end.most if back_end.HasField("most") else max(64, least)


def convert(parsed: schema.Operator) -> OperatorSettings:
    """Convert a checked file to settings."""
    listeners = tuple(
        ListenerSection(
            entry.name,
            schema.Listener.Protocol.Name(entry.protocol),
            parse_address(entry.address),
        )
        for entry in parsed.listener
    )
    json_log = parsed.log.form == schema.Log.JSON
    pools_section = None
    if parsed.HasField("pools"):
        classes = {
            handler: pool.name
            for pool in getattr(parsed.pools, "class")
            for handler in pool.handler
        }
        pools_section = PoolsSection(
            parsed.pools.minimum if parsed.pools.HasField("minimum") else 0.02, classes
        )
    store_section = None
    if parsed.HasField("store"):
        quota = parsed.store.quota_mb if parsed.store.HasField("quota_mb") else 16
        when_unwritable = (
            schema.Keys.Without.Name(parsed.store.keys.without).lower().replace("_", " ")
        )
        store_section = StoreSection(
            parsed.store.folder,
            quota * 2**20,
            when_unwritable if parsed.store.HasField("keys") else "",
        )
    fleet = convert_fleet(parsed.fleet) if parsed.HasField("fleet") else None
    duties = convert_duties(parsed.duties) if parsed.HasField("duties") else None
    if not parsed.HasField("backends"):
        return OperatorSettings(
            json_log, listeners, None, pools_section, store_section, fleet, duties
        )
    backends_section, eject_fields = parsed.backends, parsed.backends.ejection

    def value_or(message: Message, name: str, default):
        return getattr(message, name) if message.HasField(name) else default

    first_out = value_or(eject_fields, "first_out_ms", 1000) * 1000
    ejection_section = EjectionSection(
        value_or(eject_fields, "consecutive", 5),
        value_or(eject_fields, "over_peers", 0.3),
        value_or(eject_fields, "pool_share", 0.5),
        first_out,
        max(first_out, value_or(eject_fields, "longest_out_ms", 30_000) * 1000),
        value_or(eject_fields, "slow_start_ms", 5000) * 1000,
    )
    back_ends = tuple(
        BackEnd(
            b.address,
            parse_address(b.address),
            value_or(b, "weight", 1.0),
            *connection_limits(b),
            b.zone or "-",
        )
        for b in backends_section.backend
    )
    return OperatorSettings(
        json_log,
        listeners,
        BackendsSection(
            back_ends,
            value_or(backends_section, "linger_ms", 2000) * 1000,
            backends_section.stops_on_close,
            value_or(backends_section, "answer_kb", 64) * 1024,
            value_or(backends_section, "first_limit", 8),
            value_or(backends_section, "retry_share", 0.1),
            value_or(backends_section, "retry_burst", 10.0),
            ejection_section,
            backends_section.subset,
        ),
        pools_section,
        store_section,
        fleet,
        duties,
    )


def convert_fleet(section: schema.Fleet) -> FleetSection:
    """Convert the section `fleet`."""
    return FleetSection(
        section.name,
        parse_address(section.listen),
        section.advertise or section.listen,
        tuple(section.seed),
        section.zone or "-",
        section.key_file,
        parse_address(section.status) if section.status else None,
        section.size,
        section.signals or section.heed,
        section.heed,
        convert_shares(section.shares) if section.HasField("shares") else None,
    )


def convert_duties(section: schema.Duties) -> DutiesSection:
    """Convert the section `duties`."""

    def value_or(name: str, default: int) -> int:
        return getattr(section, name) if section.HasField(name) else default

    application_leases = tuple(
        ApplicationLeaseSection(
            d.name, parse_address(d.address), (d.every_ms if d.HasField("every_ms") else 500) * 1000
        )
        for d in section.duty
    )
    return DutiesSection(
        {v.name: v.address for v in section.voter},
        value_or("set", 1),
        value_or("lease_ms", 3000) * 1000,
        value_or("drift_ppm", 1000),
        section.folder,
        section.ask,
        section.book,
        section.roll,
        section.record,
        application_leases,
    )


def convert_shares(section: schema.Shares) -> SharesSection:
    """Convert the section `fleet.shares`."""
    return SharesSection(
        {home.name: home.address for home in section.home},
        section.slots,
        section.largest,
        section.floor_share if section.HasField("floor_share") else 0.25,
        section.weight if section.HasField("weight") else 1.0,
        section.mean,
        section.quotas,
    )
