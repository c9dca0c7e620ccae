"""Distributes load shedding over tenants: demand above a tenant's fair share is shed first. Pure.

Weighted max-min fairness (Bertsekas and Gallager 1992, 6.5.2): a tenant whose demand is within its share of
the capacity loses nothing, and its unused share is divided among the others. Rates are cores per second.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from weldhatch.scheduling.types import Tenant
from weldhatch.zones.reports import ZoneReport

MAX_REPORTED_RATES = 8  # pairs of class and tenant in one report, which keeps it under 1 KB
MIN_SHED_CHANGE = 0.1  # a smaller change of a tenant's fraction does not update the agreed state


def tenant_weights(tenants: Iterable[Tenant]) -> dict[str, float]:
    """Return each tenant's weight: the first of cores, rate and portion that the settings define for all.

    The weights are equal if there is none.
    """
    known = list(tenants)
    for name in ("cores", "quota_per_s", "portion"):
        weights = {tenant.name: float(getattr(tenant, name)) for tenant in known}
        if known and all(weight > 0 for weight in weights.values()):
            return weights
    return {tenant.name: 1.0 for tenant in known}


def max_min_fair(
    rates: Mapping[str, float], weights: Mapping[str, float], capacity: float
) -> dict[str, float]:
    """Return the granted rate of each tenant; the sum is `capacity`, or the total demand if that is lower."""
    granted: dict[str, float] = {}
    remaining = max(0.0, capacity)
    by_relative_demand = sorted(rates, key=lambda name: rates[name] / weights.get(name, 1.0))
    remaining_weight = sum(weights.get(name, 1.0) for name in by_relative_demand)
    for name in by_relative_demand:
        weight = weights.get(name, 1.0)
        granted[name] = min(rates[name], remaining * weight / remaining_weight)
        remaining -= granted[name]
        remaining_weight -= weight
    return granted


def shed_by_tenant(
    fraction: float, rates: Mapping[str, float], weights: Mapping[str, float]
) -> dict[str, float]:
    """Return by tenant the fraction of its work to shed, so that `fraction` of all work is shed.

    Tenants without a reported rate are left out; `fraction` itself applies to them
    (`PlaceState.shed_fraction`).
    """
    demand = {name: rate for name, rate in rates.items() if rate > 0}
    granted = max_min_fair(demand, weights, (1.0 - fraction) * sum(demand.values()))
    return {name: round(1.0 - granted[name] / rate, 2) for name, rate in demand.items()}


def tenant_shed_fractions(
    shed: Mapping[str, float],
    reports: Iterable[ZoneReport],
    tenants: Sequence[Tenant],
) -> dict[str, dict[str, float]]:
    """Return, for each partly shed class, the fraction to shed of each tenant, from the reported rates."""
    if len(tenants) < 2:
        return {}
    weights = tenant_weights(tenants)
    sums: dict[str, dict[str, float]] = {}
    for report in reports:
        for name, by_tenant in (report.tenant_rates or {}).items():
            class_sums = sums.setdefault(name, {})
            for tenant, rate in by_tenant.items():
                if tenant in weights:
                    class_sums[tenant] = class_sums.get(tenant, 0.0) + max(0.0, rate)
    return {
        name: shed_by_tenant(fraction, sums[name], weights)
        for name, fraction in shed.items()
        if 0 < fraction < 1 and name in sums
    }


def differs(old: Mapping[str, Mapping[str, float]], new: Mapping[str, Mapping[str, float]]) -> bool:
    """Return whether any tenant's fraction differs by at least `MIN_SHED_CHANGE`."""
    pairs = {(name, tenant) for by_class in (old, new) for name in by_class for tenant in by_class[name]}
    return any(
        abs(old.get(name, {}).get(tenant, 0.0) - new.get(name, {}).get(tenant, 0.0)) >= MIN_SHED_CHANGE
        for name, tenant in pairs
    )


def highest_rates(rates: Mapping[tuple[str, str], float]) -> dict[str, dict[str, float]]:
    """Return the `MAX_REPORTED_RATES` highest rates by class and tenant, for a report."""
    highest: dict[str, dict[str, float]] = {}
    for (name, tenant), rate in sorted(rates.items(), key=lambda item: -item[1])[:MAX_REPORTED_RATES]:
        if rate > 0:
            highest.setdefault(name, {})[tenant] = round(rate, 1)
    return highest
