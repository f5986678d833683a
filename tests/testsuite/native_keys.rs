//! Tests of nodes on the users' platform: what the credentials of a request allow, on routes that need
//! a key and on those that need none.

use std::time::Duration;

use serde_json::{Value, json};

use crate::native_catalog::native_catalog;
use crate::native_site::{API_KEY, HOST, LOOKUP_PATH, NativeSite, PLAIN_SERVICE};
use crate::raw_caller::{RawCaller, head_without_key};

/// The processing time of a plain request.
const WORK: Duration = Duration::from_millis(5);

/// The path of the route that needs no key.
const OPEN_PATH: &str = "/open/";

const OTHER_KEY: &str = "key-of-others";

/// Returns a catalog with a route that needs no key and a team with these keys.
fn catalog_with_open_route(version: u64, keys: &[&str]) -> Value {
    let route = json!({
        "name": "open", "host": HOST, "prefix": OPEN_PATH, "kind": "idempotent", "timeoutMs": 8000,
        "targetLatencyMs": 500, "priority": 1, "service": PLAIN_SERVICE, "maxAttempts": 2,
        "allowAnonymous": true,
    });
    let mut catalog = native_catalog(version, &[route]);
    catalog["tenants"] = json!([{"name": "rowers", "apiKeys": keys}]);
    catalog
}

async fn put_catalog(site: &NativeSite, catalog: &Value) {
    site.fleet.rows.put("op", "config", catalog);
    let version = catalog["version"].as_u64().unwrap();
    site.wait_catalog(version).await;
}

/// Sends a request with these lines of credentials; returns its status and whether it has run.
async fn ask(
    site: &NativeSite,
    caller: &mut RawCaller,
    path: &str,
    id: &str,
    credentials: &str,
) -> (u16, bool) {
    let head = head_without_key("GET", path, id, &format!("{credentials}\r\n"));
    caller.write(head).await.unwrap();
    let response = caller.read_response().await.unwrap();
    let has_run = !site.fleet.runs.workers_of(id).is_empty();
    (response.status, has_run)
}

fn token(key: &str) -> String {
    format!("authorization: Token {key}\r\n")
}

/// Guards against CONFIG: a key that was taken away still worked on routes that need no key.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_that_was_taken_away_works_on_no_route() {
    let site = NativeSite::start(1, 0, WORK).await;
    site.wait_listening(0).await;
    put_catalog(&site, &catalog_with_open_route(2, &[OTHER_KEY, API_KEY])).await;
    let mut caller = RawCaller::connect(&site.nodes[0]).await;
    for path in [OPEN_PATH, LOOKUP_PATH] {
        let id = format!("before{}", path.len());
        let asked = ask(&site, &mut caller, path, &id, &token(API_KEY)).await;
        assert_eq!(asked, (200, true), "{path} before");
    }
    put_catalog(&site, &catalog_with_open_route(3, &[OTHER_KEY])).await;
    for path in [OPEN_PATH, LOOKUP_PATH] {
        let id = format!("after{}", path.len());
        let asked = ask(&site, &mut caller, path, &id, &token(API_KEY)).await;
        assert_eq!(asked, (401, false), "{path} after");
    }
}

/// Guards against ROUTE: credentials that are no team's key counted as none.
#[tokio::test(flavor = "multi_thread")]
async fn credentials_that_are_no_key_of_a_team_are_refused_on_every_route() {
    let site = NativeSite::start(1, 0, WORK).await;
    site.wait_listening(0).await;
    put_catalog(&site, &catalog_with_open_route(2, &[API_KEY])).await;
    let mut caller = RawCaller::connect(&site.nodes[0]).await;
    let two_keys = token(API_KEY) + &token(OTHER_KEY);
    let cases = [
        ("none", String::new(), 200, 401),
        ("known", token(API_KEY), 200, 200),
        ("unknown", token("nobody"), 401, 401),
        ("no-key", token(""), 401, 401),
        ("empty", "authorization:\r\n".to_owned(), 401, 401),
        (
            "scheme",
            "authorization: Basic a2V5\r\n".to_owned(),
            401,
            401,
        ),
        (
            "bytes",
            "authorization: Token \u{e9}\r\n".to_owned(),
            401,
            401,
        ),
        ("two", two_keys, 401, 401),
    ];
    for (name, credentials, open_status, closed_status) in cases {
        for (path, status) in [(OPEN_PATH, open_status), (LOOKUP_PATH, closed_status)] {
            let id = format!("{name}{}", path.len());
            let asked = ask(&site, &mut caller, path, &id, &credentials).await;
            assert_eq!(asked, (status, status == 200), "{name} {path}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_catalog_without_teams_ignores_credentials() {
    let site = NativeSite::start(1, 0, WORK).await;
    site.wait_listening(0).await;
    let mut catalog = catalog_with_open_route(2, &[]);
    catalog.as_object_mut().unwrap().remove("tenants");
    put_catalog(&site, &catalog).await;
    let mut caller = RawCaller::connect(&site.nodes[0]).await;
    for (name, credentials) in [("none", String::new()), ("unknown", token("nobody"))] {
        for path in [OPEN_PATH, LOOKUP_PATH] {
            let id = format!("{name}{}", path.len());
            let asked = ask(&site, &mut caller, path, &id, &credentials).await;
            assert_eq!(asked, (200, true), "{name} {path}");
        }
    }
}
