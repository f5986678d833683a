//! The catalog of a site on the users' platform.

use serde_json::{Value, json};

use crate::native_site::{
    API_KEY, ENGINE_SERVICE, HOST, LOOKUP_PATH, MODEL, PLAIN_SERVICE, RESERVE_PATH, STREAM_PATH,
    TEAM,
};

/// Returns a version of the catalog with `extra_routes` in addition to the usual ones.
pub fn native_catalog(version: u64, extra_routes: &[Value]) -> Value {
    let route = |name: &str, prefix: &str, kind: &str, service: &str| {
        json!({
            "name": name, "host": HOST, "prefix": prefix, "kind": kind, "timeoutMs": 8000,
            "targetLatencyMs": 500, "priority": 1, "service": service, "maxAttempts": 2,
        })
    };
    let mut stream = route("draft", STREAM_PATH, "streaming", ENGINE_SERVICE);
    stream["resumable"] = json!(true);
    stream["gapAimMs"] = json!(300);
    let mut routes = vec![
        stream,
        route("lookup", LOOKUP_PATH, "idempotent", PLAIN_SERVICE),
        route("reserve", RESERVE_PATH, "non_idempotent", PLAIN_SERVICE),
    ];
    routes.extend_from_slice(extra_routes);
    json!({
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": ENGINE_SERVICE, "maxConnections": 100, "warmupS": 0, "coldPerS": 0,
                "engine": {
                    "slots": 8, "kvTokenCapacity": 1000, "stride": 5, "step_ms": 6.0,
                    "per_seq_ms": 0.2, "read_per_s": 46000.0, "loadsPerS": 9.0,
                    "loads_at_once": 6,
                    "models": [{
                        "name": MODEL, "size": 2, "share": 1.0, "pace": 1.0, "loadS": 0.2,
                        "warmS": 0.1,
                    }],
                },
            },
            {"name": PLAIN_SERVICE, "maxConnections": 50, "warmupS": 0, "coldPerS": 0},
        ],
        "limits": {
            "maxHeaderBytes": 16384, "maxBodyBytes": 65536, "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": TEAM, "apiKeys": [API_KEY]}],
    })
}
