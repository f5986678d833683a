//! A catalog that is too long to be sent with the news.

/// Returns a catalog of many routes, which only repeats itself in its structure.
pub fn large_catalog(seed: u64, routes: usize) -> Vec<u8> {
    let mut state = seed;
    let mut text = String::new();
    for _ in 0..routes {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        text.push_str(&format!(
            "{{\"name\":\"r{state:016x}\",\"host\":\"desk.example\",\"prefix\":\"/p{:x}/\",\
             \"kind\":\"idempotent\",\"timeoutMs\":8000,\"targetLatencyMs\":500,\
             \"priority\":1,\"service\":\"desk\",\"maxAttempts\":2,\"allowedRegions\":[]}},",
            state >> 20
        ));
    }
    text.into_bytes()
}
