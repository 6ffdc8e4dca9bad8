"""Settings of two small deployments, with the figures of their site files; only the keys that the node reads."""


def _settings(zones, kinds, grades, tenants, tick_ms, limits, rules, me, siblings, zone, worth_by):
    return {
        "azs": zones,
        "kinds": kinds,
        "grades": grades,
        "tenants": [{"name": name, "share": share, "quotaPerS": quota} for name, share, quota in tenants],
        "tickNs": tick_ms * 1_000_000,
        "limits": limits,
        "rules": rules,
        "membershipMode": "subscribe",
        "overShareWorth": 0.05,
        "worthBy": worth_by,
        "me": me,
        "siblings": siblings,
        "zone": zone,
    }


ISARTAL_TENANTS = [
    ("oberland-talk", 0.16, 9.0),
    ("isar-nachrichten", 0.16, 9.0),
    ("landfunk", 0.16, 9.0),
    ("bergzeit", 0.15, 9.0),
    ("stadtgespraech", 0.12, 7.0),
    ("kulturecke", 0.11, 6.0),
    ("hofladen-funk", 0.11, 6.0),
    ("kinderstunde", 0.03, 2.0),
]


def isartal(me, siblings, zone):
    """isartal-stats: one keyed class whose servers drop a repeat for 3 s within a cell."""
    grade = {
        "name": "play-report",
        "effect": "by_key",
        "keyScope": "cell",
        "windowNs": 3_000_000_000,
        "goalTimeNs": 1_200_000_000,
        "giveUpNs": 5_000_000_000,
        "importance": 1.0,
        "lateValue": 0.3,
        "streamed": False,
    }
    limits = {
        "cancel": True,
        "connIdleNs": 10_000_000_000,
        "connectTimeoutNs": 250_000_000,
        "maxAttempts": 5,
        "maxRetryAfterNs": 2_000_000_000,
        "mostHeld": 20_000,
        "parallelTries": False,
        "probes": True,
        "retryAfter": False,
    }
    rules = {
        "answerSlackNs": 20_000_000,
        "askWithinNs": 10_000_000_000,
        "coldFrom": 0.31,
        "coldNs": 8_800_000_000,
        "drainGraceNs": 1_500_000_000,
        "fallNs": 2_000_000_000,
        "tipMultiple": 3.0,
    }
    zones, kinds = ["muenchen-nord", "augsburg"], ["gen3", "gen2", "gen1"]
    return _settings(zones, kinds, [grade], ISARTAL_TENANTS, 5, limits, rules, me, siblings, zone, "work")


def alder(me, siblings):
    """alder-refunds: one class that is safe to repeat, and one that must never run twice."""
    check = {
        "name": "receipt-check",
        "effect": "repeatable",
        "goalTimeNs": 300_000_000,
        "giveUpNs": 1_000_000_000,
        "importance": 3.0,
        "lateValue": 0.0,
        "streamed": False,
    }
    payout = {
        "name": "refund-payout",
        "effect": "once",
        "goalTimeNs": 75_000_000,
        "giveUpNs": 150_000_000,
        "importance": 8.0,
        "lateValue": 0.0,
        "streamed": False,
    }
    limits = {
        "cancel": True,
        "connIdleNs": 15_000_000_000,
        "connectTimeoutNs": 50_000_000,
        "maxAttempts": 6,
        "maxRetryAfterNs": 500_000_000,
        "mostHeld": 20_000,
        "parallelTries": False,
        "probes": True,
        "retryAfter": True,
    }
    rules = {
        "answerSlackNs": 20_000_000,
        "askWithinNs": 10_000_000_000,
        "coldFrom": 0.31,
        "coldNs": 8_700_000_000,
        "drainGraceNs": 250_000_000,
        "fallNs": 3_000_000_000,
        "tipMultiple": 3.0,
    }
    tenants = [("port-alder", 0.56, 200.0), ("cedar-bay", 0.44, 160.0)]
    return _settings(
        ["works-yard"], ["std-1", "eco-1"], [check, payout], tenants, 1, limits, rules, me, siblings, 0, "request"
    )
