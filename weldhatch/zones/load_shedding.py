"""Whose work is turned away where not all can be borne: what is asked over a share goes first. Pure.

Weighted max-min fairness (Bertsekas and Gallager 1992, 6.5.2): a tenant that asks no more than its share of
what can be borne loses nothing, and what it leaves is shared by the others. Rates are cores a second.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from weldhatch.scheduling import types as i

TOLD_MOST = 8  # pairs of class and tenant that one report names: it stays under 1 KB
MOVED = 0.1  # a tenant's part that has moved by less is not worth a change of the agreed state


def weights(tenants: Iterable[i.Tenant]) -> dict[str, float]:
    """Each tenant's share by the first of cores, rate and portion that the settings give all of them;
    equal ones where they give none."""
    told = list(tenants)
    for read in (lambda one: one.cores, lambda one: one.quota_per_s, lambda one: one.portion):
        if told and all(read(one) > 0 for one in told):
            return {one.name: read(one) for one in told}
    return {one.name: 1.0 for one in told}


def borne(rates: Mapping[str, float], shares: Mapping[str, float], room: float) -> dict[str, float]:
    """Of each tenant's rate, what can be borne: together `room`, or all where that is less."""
    out, left = {}, max(0.0, room)
    open_ = sorted(rates, key=lambda name: rates[name] / shares.get(name, 1.0))  # the most modest first
    weight = sum(shares.get(name, 1.0) for name in open_)
    for name in open_:
        share = shares.get(name, 1.0)
        out[name] = min(rates[name], left * share / weight)
        left, weight = left - out[name], weight - share
    return out


def parts(part: float, rates: Mapping[str, float], shares: Mapping[str, float]) -> dict[str, float]:
    """By tenant, the part of its work to turn away, so that of all of it `part` is.

    Tenants of whom no rate is told are left to `part` itself, by those who ask.
    """
    told = {name: rate for name, rate in rates.items() if rate > 0}
    kept = borne(told, shares, (1.0 - part) * sum(told.values()))
    return {name: round(1.0 - kept[name] / rate, 2) for name, rate in told.items()}


def of_shed(
    shed: Mapping[str, float],
    reports: Iterable[Mapping],
    tenants: Sequence[i.Tenant],
) -> dict[str, dict[str, float]]:
    """By class that is turned away in part, each tenant's part of that. `reports`: `told` of `rates_told`."""
    if len(tenants) < 2:
        return {}
    shares, sums = weights(tenants), {}
    for told in reports:
        for name, by_tenant in told.get("tenants", {}).items():
            into = sums.setdefault(name, {})
            for tenant, rate in by_tenant.items():
                if tenant in shares:
                    into[tenant] = into.get(tenant, 0.0) + max(0.0, rate)
    return {
        name: parts(part, sums[name], shares) for name, part in shed.items() if 0 < part < 1 and name in sums
    }


def moved(old: Mapping[str, Mapping[str, float]], new: Mapping[str, Mapping[str, float]]) -> bool:
    """Whether any tenant's part is another one than was agreed."""
    pairs = {(name, tenant) for one in (old, new) for name in one for tenant in one[name]}
    return any(
        abs(old.get(name, {}).get(tenant, 0.0) - new.get(name, {}).get(tenant, 0.0)) >= MOVED
        for name, tenant in pairs
    )


def rates_told(rates: Mapping[tuple[str, str], float]) -> dict[str, dict[str, float]]:
    """For a report: the greatest rates by class and tenant."""
    out: dict[str, dict[str, float]] = {}
    for (name, tenant), rate in sorted(rates.items(), key=lambda one: -one[1])[:TOLD_MOST]:
        if rate > 0:
            out.setdefault(name, {})[tenant] = round(rate, 1)
    return out
