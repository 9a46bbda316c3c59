//! What several tests of the settings begin with.

/// A settings object without a fault.
pub const GOOD: &str = r#"{"balancers": 3, "me": 1, "locality": 0, "classes": [
    {"name": "look", "aim_ms": 200.0, "hard_limit_ms": 400.0, "effect": "idempotent", "worth": 1.0, "late_worth": 0.5, "aim_stretch": 0.0},
    {"name": "move", "aim_ms": 300.0, "hard_limit_ms": 750.0, "effect": "deduplicated", "dedup_scope": "zone", "key_ttl_ms": 900.0}],
    "parties": [{"name": "acme", "allowance_per_s": 5.0}, {"name": "lodge", "allowance_per_s": 7.0}],
    "discovery": "subscribe", "failure_domains": ["a", "b"], "skus": ["m"],
    "guarantees": {"ask_every_ms": 10000.0, "cold_from": 0.13, "cold_ms": 21000.0, "fall_multiple": 3.0, "overload_for_ms": 1500.0},
    "limits": {"conn_idle_ms": 5000.0, "connect_timeout_ms": 100.0, "cpu_us_per_request": 0.0, "max_retry_after_ms": 2000.0,
        "max_streams": 1, "try_limit": 5},
    "over_share_worth": 0.05, "goal": {"slow_end": 0.2, "tail_miss": 0.01},
    "prices": {"connection": 0.08, "cross_zone": 0.02, "handshake": 0.08, "late_fail": 0.08, "probe": 0.01, "waste": 0.02},
    "telemetry": {"fields": ["depth"], "how": "inline"}, "weight_kind": "nominal", "worth_by": "request"}"#;
