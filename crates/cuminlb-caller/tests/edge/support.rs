//! Configuration and addresses shared by the tests of this package.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

use proptest::prelude::ProptestConfig;
use proptest::test_runner::RngSeed;
use tokio::net::TcpStream;

/// The seed of every property test of this package.
const SEED: u64 = 20_261_204;

/// The next port for a server of these tests. Sites of other tests use only ports below the first.
static NEXT_PORT: AtomicU16 = AtomicU16::new(18_080);

/// Returns a configuration with a fixed seed that runs at least `cases` cases, and a quarter of the
/// default number if that is more.
pub fn proptest_config(cases: u32) -> ProptestConfig {
    let default = ProptestConfig::default();
    ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        cases: cases.max(default.cases / 4),
        ..default
    }
}

/// Returns an address that no other test in this or another process uses.
pub fn next_address() -> SocketAddr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, 10 + high % 200, low, 250);
    SocketAddr::from((ip, NEXT_PORT.fetch_add(1, Ordering::Relaxed)))
}

/// Waits until a server accepts connections at the address.
pub async fn wait_listening(address: SocketAddr) {
    let wait = async {
        while TcpStream::connect(address).await.is_err() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(20), wait)
        .await
        .expect("the server did not start to listen");
}
