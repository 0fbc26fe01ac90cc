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
    """Read a file.

    Raises:
        OperatorFileError: with all faults, in the order of their lines.
    """
    return convert(parse_checked(path, schema.Operator(), relation_faults))


def relation_faults(found: schema.Operator) -> Iterator[tuple[str, str]]:
    """Yield the conflicts between fields, each as the key of a field and a text."""
    names: set[str] = set()
    addresses: set[str] = set()
    for i, way in enumerate(found.listener):
        if way.name in names or way.name in ("gateway", "engine", "database", "naming"):
            yield f"listener[{i}].name", f"{way.name!r} is taken; right would be a name of its own"
        if way.address in addresses:
            yield (
                f"listener[{i}].address",
                f"{way.address!r} stands twice; right would be one of its own",
            )
        names.add(way.name)
        addresses.add(way.address)
    addresses.clear()
    handlers: dict[str, str] = {}
    for i, one in enumerate(getattr(found.pools, "class")):
        for j, handler in enumerate(one.handler):
            if handler in handlers:
                why = f"{handler!r} is in {handlers[handler]!r}; right would be once"
                yield f"pools.class[{i}].handler[{j}]", why
            handlers[handler] = one.name
    for i, one in enumerate(found.backends.backend):
        if one.address in addresses:
            yield (
                f"backends.backend[{i}].address",
                f"{one.address!r} stands twice; right would be once",
            )
        addresses.add(one.address)
        least, most = connection_limits(one)
        if least > most:
            yield (
                f"backends.backend[{i}].most",
                f"{most} is under least; right would be {least} or more",
            )
    own = {found.fleet.listen, found.fleet.advertise} - {""}
    for i, seed in enumerate(found.fleet.seed):
        if seed in found.fleet.seed[:i]:
            yield f"fleet.seed[{i}]", f"{seed!r} stands twice; right would be once"
    if found.HasField("fleet") and found.fleet.status in own:
        yield "fleet.status", "it is the address of the datagrams; right would be one of its own"
    names, homes = set(), found.fleet.shares.home
    for i, home in enumerate(homes):
        if home.name in names:
            yield f"fleet.shares.home[{i}].name", f"{home.name!r} stands twice; right would be once"
        names.add(home.name)
    if homes and not found.fleet.shares.slots and not found.fleet.shares.quotas:
        yield "fleet.shares", "neither slots nor quotas are shared; right would be slots or quotas"
    if homes and len(homes) % 2 == 0:
        yield "fleet.shares.home", f"{len(homes)} of them; right would be an odd number"
    if found.HasField("duties"):
        yield from duties_faults(found)
    if found.backends.subset and not found.HasField("fleet"):
        yield (
            "backends.subset",
            "there is no fleet to choose by; right would be fleet { ... } as well",
        )
    eject = found.backends.ejection
    first = eject.first_out_ms or 1000
    if eject.HasField("longest_out_ms") and eject.longest_out_ms < first:
        yield (
            "backends.ejection.longest_out_ms",
            f"{eject.longest_out_ms} is under first_out_ms; right would be {first} or more",
        )


def duties_faults(found: schema.Operator) -> Iterator[tuple[str, str]]:
    """Yield the conflicts that concern the section `duties`, in the same form."""
    duties, names = found.duties, set()
    if not found.HasField("fleet"):
        yield "duties", "there is no fleet; right would be fleet { ... } as well"
    for i, voter in enumerate(duties.voter):
        if voter.name in names:
            yield f"duties.voter[{i}].name", f"{voter.name!r} stands twice; right would be once"
        names.add(voter.name)
    if duties.book and not found.fleet.shares.slots:
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


def connection_limits(one: schema.Backend) -> tuple[int, int]:
    """Return the least and the greatest limit of a back end's connections."""
    least = one.least if one.HasField("least") else 1
    return least, one.most if one.HasField("most") else max(64, least)


def convert(found: schema.Operator) -> OperatorSettings:
    """Convert a checked file to settings."""
    ways = tuple(
        ListenerSection(
            entry.name,
            schema.Listener.Protocol.Name(entry.protocol),
            parse_address(entry.address),
        )
        for entry in found.listener
    )
    json_log = found.log.form == schema.Log.JSON
    classed = None
    if found.HasField("pools"):
        classes = {
            handler: pool.name for pool in getattr(found.pools, "class") for handler in pool.handler
        }
        classed = PoolsSection(
            found.pools.minimum if found.pools.HasField("minimum") else 0.02, classes
        )
    kept = None
    if found.HasField("store"):
        quota = found.store.quota_mb if found.store.HasField("quota_mb") else 16
        without = schema.Keys.Without.Name(found.store.keys.without).lower().replace("_", " ")
        kept = StoreSection(
            found.store.folder, quota * 2**20, without if found.store.HasField("keys") else ""
        )
    fleet = convert_fleet(found.fleet) if found.HasField("fleet") else None
    duties = convert_duties(found.duties) if found.HasField("duties") else None
    if not found.HasField("backends"):
        return OperatorSettings(json_log, ways, None, classed, kept, fleet, duties)
    pool_section, eject = found.backends, found.backends.ejection

    def value_or(message: Message, name: str, default):
        return getattr(message, name) if message.HasField(name) else default

    first_out = value_or(eject, "first_out_ms", 1000) * 1000
    ejecting = EjectionSection(
        value_or(eject, "consecutive", 5),
        value_or(eject, "over_peers", 0.3),
        value_or(eject, "pool_share", 0.5),
        first_out,
        max(first_out, value_or(eject, "longest_out_ms", 30_000) * 1000),
        value_or(eject, "slow_start_ms", 5000) * 1000,
    )
    back_ends = tuple(
        BackEnd(
            b.address,
            parse_address(b.address),
            value_or(b, "weight", 1.0),
            *connection_limits(b),
            b.zone or "-",
        )
        for b in pool_section.backend
    )
    return OperatorSettings(
        json_log,
        ways,
        BackendsSection(
            back_ends,
            value_or(pool_section, "linger_ms", 2000) * 1000,
            pool_section.stops_on_close,
            value_or(pool_section, "answer_kb", 64) * 1024,
            value_or(pool_section, "first_limit", 8),
            value_or(pool_section, "retry_share", 0.1),
            value_or(pool_section, "retry_burst", 10.0),
            ejecting,
            pool_section.subset,
        ),
        classed,
        kept,
        fleet,
        duties,
    )


def convert_fleet(found: schema.Fleet) -> FleetSection:
    """Convert the section `fleet`."""
    return FleetSection(
        found.name,
        parse_address(found.listen),
        found.advertise or found.listen,
        tuple(found.seed),
        found.zone or "-",
        found.key_file,
        parse_address(found.status) if found.status else None,
        found.size,
        found.signals or found.heed,
        found.heed,
        convert_shares(found.shares) if found.HasField("shares") else None,
    )


def convert_duties(found: schema.Duties) -> DutiesSection:
    """Convert the section `duties`."""

    def value_or(name: str, default: int) -> int:
        return getattr(found, name) if found.HasField(name) else default

    own = tuple(
        ApplicationLeaseSection(
            d.name, parse_address(d.address), (d.every_ms if d.HasField("every_ms") else 500) * 1000
        )
        for d in found.duty
    )
    return DutiesSection(
        {v.name: v.address for v in found.voter},
        value_or("set", 1),
        value_or("lease_ms", 3000) * 1000,
        value_or("drift_ppm", 1000),
        found.folder,
        found.ask,
        found.book,
        found.roll,
        found.record,
        own,
    )


def convert_shares(found: schema.Shares) -> SharesSection:
    """Convert the section `fleet.shares`."""
    return SharesSection(
        {home.name: home.address for home in found.home},
        found.slots,
        found.largest,
        found.floor_share if found.HasField("floor_share") else 0.25,
        found.weight if found.HasField("weight") else 1.0,
        found.mean,
        found.quotas,
    )
