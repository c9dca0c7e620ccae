"""Decide whose work is shed where not all can be taken: what is asked over a fair share goes first. Pure.

Weighted max-min fairness (Bertsekas and Gallager 1992, 6.5.2): a tenant that asks no more than its share of
the capacity loses nothing, and what it leaves is shared by the others. Rates are cores a second.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from weldhatch.scheduling.types import Tenant
from weldhatch.zones.reports import ZoneReport

MAX_REPORTED_RATES = 8  # pairs of class and tenant that one report names: it stays under 1 KB
MIN_DIFFERENCE = 0.1  # a tenant's part that has moved by less is not worth a change of the agreed state


def tenant_weights(tenants: Iterable[Tenant]) -> dict[str, float]:
    """Return each tenant's weight: the first of cores, rate and portion that the settings give all of them.

    They are equal where the settings give none.
    """
    known = list(tenants)
    for name in ("cores", "quota_per_s", "portion"):
        weights = {one.name: float(getattr(one, name)) for one in known}
        if known and all(weight > 0 for weight in weights.values()):
            return weights
    return {one.name: 1.0 for one in known}


def max_min_fair(
    rates: Mapping[str, float], weights: Mapping[str, float], capacity: float
) -> dict[str, float]:
    """Return what is granted of each tenant's rate: together `capacity`, or all where that is less."""
    granted: dict[str, float] = {}
    left = max(0.0, capacity)
    modest_first = sorted(rates, key=lambda name: rates[name] / weights.get(name, 1.0))
    weight_left = sum(weights.get(name, 1.0) for name in modest_first)
    for name in modest_first:
        weight = weights.get(name, 1.0)
        granted[name] = min(rates[name], left * weight / weight_left)
        left -= granted[name]
        weight_left -= weight
    return granted


def shed_by_tenant(part: float, rates: Mapping[str, float], weights: Mapping[str, float]) -> dict[str, float]:
    """Return by tenant the part of its work to shed, so that `part` of all of it is.

    Tenants without a reported rate are left to `part` itself, by those who apply it.
    """
    asking = {name: rate for name, rate in rates.items() if rate > 0}
    granted = max_min_fair(asking, weights, (1.0 - part) * sum(asking.values()))
    return {name: round(1.0 - granted[name] / rate, 2) for name, rate in asking.items()}


def tenant_parts(
    shed: Mapping[str, float],
    reports: Iterable[ZoneReport],
    tenants: Sequence[Tenant],
) -> dict[str, dict[str, float]]:
    """Return, by class that is shed in part, each tenant's part of that, from the reported rates."""
    if len(tenants) < 2:
        return {}
    weights = tenant_weights(tenants)
    sums: dict[str, dict[str, float]] = {}
    for report in reports:
        for name, by_tenant in (report.tenant_rates or {}).items():
            total = sums.setdefault(name, {})
            for tenant, rate in by_tenant.items():
                if tenant in weights:
                    total[tenant] = total.get(tenant, 0.0) + max(0.0, rate)
    return {
        name: shed_by_tenant(part, sums[name], weights)
        for name, part in shed.items()
        if 0 < part < 1 and name in sums
    }


def differs(old: Mapping[str, Mapping[str, float]], new: Mapping[str, Mapping[str, float]]) -> bool:
    """Tell whether any tenant's part differs from what was agreed by enough to change it."""
    pairs = {(name, tenant) for one in (old, new) for name in one for tenant in one[name]}
    return any(
        abs(old.get(name, {}).get(tenant, 0.0) - new.get(name, {}).get(tenant, 0.0)) >= MIN_DIFFERENCE
        for name, tenant in pairs
    )


def greatest_rates(rates: Mapping[tuple[str, str], float]) -> dict[str, dict[str, float]]:
    """Return the greatest rates by class and tenant, for a report."""
    greatest: dict[str, dict[str, float]] = {}
    for (name, tenant), rate in sorted(rates.items(), key=lambda one: -one[1])[:MAX_REPORTED_RATES]:
        if rate > 0:
            greatest.setdefault(name, {})[tenant] = round(rate, 1)
    return greatest
