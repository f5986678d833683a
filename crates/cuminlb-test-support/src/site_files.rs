//! The settings files and the fleet file of a site, with its fixed ports and credentials.

use std::fmt::Write;
use std::net::{IpAddr, SocketAddr};

use cuminlb_config::ApiKeyDigest;

use crate::SiteBuilder;

/// The peer token of every node.
pub(crate) const PEER_TOKEN: &str = "peer-token-of-a-test-site";

/// The operator token of every node.
pub(crate) const OPERATOR_TOKEN: &str = "operator-token-of-a-test-site";

/// The name, API key and share weight of each team.
pub(crate) const TEAMS: [(&str, &str, u32); 2] = [
    ("suva-rowing", "key-of-suva-rowing", 10),
    ("lami-juniors", "key-of-lami-juniors", 1),
];

/// The port of the platform stand-in.
pub(crate) const PLATFORM_PORT: u16 = 9_000;

/// The port of the first upstream; each further one listens on the next port.
pub(crate) const FIRST_UPSTREAM_PORT: u16 = 10_000;

/// The ports of every node, which has an IP address of its own.
pub(crate) const CALLER_PORT: u16 = 8_080;
pub(crate) const OPERATOR_PORT: u16 = 8_081;
pub(crate) const PEER_PORT: u16 = 8_082;

/// Returns the settings file of one node.
pub(crate) fn node_settings(
    plan: &SiteBuilder,
    id: &str,
    zone: &str,
    ip: IpAddr,
    platform: SocketAddr,
) -> String {
    format!(
        r#"id = "{id}"
region = "{region}"
zone = "{zone}"

[listen]
caller = "{ip}:{CALLER_PORT}"
operator = "{ip}:{OPERATOR_PORT}"
peer = "{ip}:{PEER_PORT}"

[platform]
table = "{platform}"
objects = "{platform}"
instances = "{platform}"

[security]
peer_token = "{PEER_TOKEN}"
operator_token = "{OPERATOR_TOKEN}"

{extra}"#,
        region = plan.region,
        extra = plan.extra_settings,
    )
}

/// Returns the fleet file of a site; the zones in `zones_out` are out.
pub(crate) fn fleet(plan: &SiteBuilder, zones_out: &[&str]) -> String {
    let mut text = String::new();
    for zone in &plan.zones {
        let state = if zones_out.contains(&zone.as_str()) {
            "out"
        } else {
            "in"
        };
        let region = &plan.region;
        let _ = writeln!(
            text,
            "[[zone]]\nid = \"{zone}\"\nregion = \"{region}\"\nstate = \"{state}\"\n"
        );
    }
    for (name, key, share) in TEAMS {
        let digest = ApiKeyDigest::compute(key);
        let _ = writeln!(
            text,
            "[[team]]\nid = \"{name}\"\napi_key_sha256 = \"{digest}\"\nshare = {share}\n\
             rate_per_s = 10000.0\n"
        );
    }
    for model in &plan.model_services {
        let fencing = if model.engine.checks_fencing {
            "checked"
        } else {
            "ignored"
        };
        let _ = writeln!(
            text,
            "[[model_service]]\nid = \"{name}\"\nmodel = \"{name}\"\nreplicas = {}\n\
             members_per_replica = {}\nwarm_slots = {}\ncold_slots = {}\nresumable = {}\n\
             fencing = \"{fencing}\"\n",
            model.replicas,
            model.members,
            model.warm_slots,
            model.cold_slots,
            model.resumable,
            name = model.name,
        );
    }
    for plain in &plan.plain_services {
        let _ = writeln!(
            text,
            "[[plain_service]]\nid = \"{name}\"\npath_prefix = \"/{name}\"\nreplicas = {}\n\
             warm_slots = 16\ncold_slots = 2\n\
             non_idempotent = [\"POST /reservations\", \"POST /passes\"]\n",
            plain.workers,
            name = plain.name,
        );
    }
    text
}
