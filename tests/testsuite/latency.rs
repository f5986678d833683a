//! Tests that a node does not delay responses.

use cuminlb_load::{ArrivalSchedule, LoadPlan, LoadTarget, Outcome, TeamLoad, run_load};
use cuminlb_standins::EngineOptions;
use cuminlb_test_support::{ModelPlan, SiteBuilder};
use cuminlb_types::prelude::*;

/// The minimum delay of a response head that waits for a delayed TCP acknowledgment of the caller.
const DELAYED_ACKNOWLEDGEMENT_MS: f64 = 40.0;

#[tokio::test]
async fn first_tokens_are_not_delayed() {
    let engine = EngineOptions {
        first_token_ms: Millis(5),
        ..EngineOptions::default()
    };
    let model = ModelPlan::new("oar-assist", 1, 1).engine(engine);
    let site = SiteBuilder::default()
        .nodes(1)
        .model(model)
        .start_serving()
        .await
        .unwrap();
    let url = site.caller_url(0, "/v1/chat/completions");
    let team = TeamLoad {
        name: "suva-rowing".to_owned(),
        api_key: site.api_key().to_owned(),
        weight: ShareWeight(1),
    };
    let report = run_load(LoadPlan {
        targets: vec![LoadTarget {
            url,
            headers: Vec::new(),
        }],
        schedule: ArrivalSchedule::poisson(RequestsPerSecond(100.0), Millis(3_000), 1),
        teams: vec![team],
        model: "oar-assist".to_owned(),
        tokens: TokenCount(4),
        timeout_ms: Millis(30_000),
        max_retries: 0,
        seed: 1,
    })
    .await;
    assert_eq!(
        report.count(&Outcome::Completed),
        report.offered(),
        "{report}"
    );

    assert!(
        report.time_to_first_token().p50_ms < DELAYED_ACKNOWLEDGEMENT_MS,
        "{report}"
    );
    site.shut_down().await;
}
