//! The secret of a gateway node is checked, and no output reveals it.

use cuminlb_config::{ConfigError, GatewaySettings};

/// The length of the longest token that a node reads from a peer.
const MAX_TOKEN_LEN: usize = 1_024;

fn parse(token: &str) -> Result<GatewaySettings, ConfigError> {
    let text = format!(
        r#"
id = "n1"
region = "ra"
zone = "za"
zones = ["za=ra"]
[listen]
caller = "127.0.0.1:1"
ready = "127.0.0.1:2"
peer = "127.0.0.1:3"
metrics = "127.0.0.1:4"
[store]
address = "127.0.0.1:5"
[security]
peer_token = "{token}"
"#
    );
    GatewaySettings::parse("file", &text)
}

#[test]
fn a_token_that_no_handshake_accepts_is_rejected() {
    assert!(parse(&"t".repeat(16)).is_ok());
    assert!(parse(&"t".repeat(MAX_TOKEN_LEN)).is_ok());
    for length in [0, 15, MAX_TOKEN_LEN + 1] {
        let error = parse(&"t".repeat(length)).unwrap_err();
        assert!(error.to_string().contains("peer_token"), "{error}");
    }
}

#[test]
fn the_debug_output_of_gateway_settings_reveals_no_secret() {
    let settings = parse("a-secret-of-a-test").unwrap();
    let text = format!("{settings:?}");
    assert!(!text.contains("a-secret"), "{text}");
}
