//! [`LoopbackBlock`]: loopback addresses that one site has for itself.

use std::io::ErrorKind;
use std::net::{Ipv4Addr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};

use crate::SiteError;

/// The first two parts of all addresses of blocks.
const PREFIX: [u8; 2] = [127, 3];

/// The number of blocks.
const BLOCK_COUNT: u32 = 4_096;

/// The number of addresses from one block to the next.
const BLOCK_SIZE: u32 = 16;

/// The port that shows that a block is in use. No process of a site listens on it.
const CLAIM_PORT: u16 = 7_999;

/// The number of blocks that this process has claimed.
static CLAIM_COUNT: AtomicU32 = AtomicU32::new(0);

/// A block of 15 loopback addresses that no other site of any test process has, until it is dropped.
#[derive(Debug)]
pub struct LoopbackBlock {
    first: Ipv4Addr,
    /// Keeps other processes from the block. The operating system closes it if this process ends.
    _claim: TcpListener,
}

impl LoopbackBlock {
    /// Claims a block.
    ///
    /// # Errors
    ///
    /// Returns [`SiteError::Io`] if no block is left or the system has no such addresses.
    pub fn claim() -> Result<Self, SiteError> {
        let first_choice = std::process::id().wrapping_mul(BLOCK_SIZE);
        for _ in 0..BLOCK_COUNT {
            let count = CLAIM_COUNT.fetch_add(1, Ordering::Relaxed);
            let first = first_address(first_choice.wrapping_add(count) % BLOCK_COUNT);
            match TcpListener::bind((first, CLAIM_PORT)) {
                Ok(claim) => {
                    return Ok(Self {
                        first,
                        _claim: claim,
                    });
                }
                Err(error) if error.kind() == ErrorKind::AddrInUse => {}
                Err(error) => return Err(io_error(error)),
            }
        }
        Err(io_error(ErrorKind::AddrInUse.into()))
    }

    /// Returns the first address of the block; the next 14 belong to it too.
    pub const fn first(&self) -> Ipv4Addr {
        self.first
    }

    /// Returns the address at a position below 15.
    ///
    /// # Panics
    ///
    /// Panics if the position is not in the block.
    pub fn address(&self, position: u8) -> Ipv4Addr {
        assert!(u32::from(position) < BLOCK_SIZE - 1, "no address is left");
        let [a, b, c, last] = self.first.octets();
        Ipv4Addr::new(a, b, c, last + position)
    }
}

fn first_address(block: u32) -> Ipv4Addr {
    let [_, _, high, low] = (block * BLOCK_SIZE + 1).to_be_bytes();
    Ipv4Addr::new(PREFIX[0], PREFIX[1], high, low)
}

fn io_error(source: std::io::Error) -> SiteError {
    SiteError::Io {
        context: "the loopback addresses of a site".to_owned(),
        source,
    }
}
