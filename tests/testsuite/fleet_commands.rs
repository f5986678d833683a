//! Tests of the `cuminctl` commands `zone`, `status` and `top`.

use cuminlb_caller::FleetStatus;
use cuminlb_test_support::{ModelPlan, PlainPlan, SiteBuilder, wait_until};
use cuminlb_types::prelude::*;

use crate::support::{
    assert_exit_status, cuminctl, current_fleet, path_argument, status, stderr, stdout,
    write_temp_file,
};

#[tokio::test]
async fn zone_out_and_in_keep_the_rest_of_the_fleet_file() {
    let site = SiteBuilder::default()
        .nodes(3)
        .model(ModelPlan::new("oar-assist", 3, 1))
        .start_serving()
        .await
        .unwrap();
    let commented = format!("# kept by the desk\n{}", site.fleet_toml());
    let file = write_temp_file(&commented);
    assert_exit_status(&cuminctl(&site, &["apply", path_argument(&file)]).await, 0);
    let before = current_fleet(&site).await;

    let dry_run = cuminctl(&site, &["zone", "--dry-run", "out", "lami"]).await;
    assert!(
        stdout(&dry_run).contains("- state = \"in\"\n+ state = \"out\"\n"),
        "{dry_run:?}"
    );
    assert_exit_status(&cuminctl(&site, &["zone", "out", "lami"]).await, 0);
    let out = current_fleet(&site).await;
    assert_eq!(out.version, before.version.next());
    assert!(out.body.starts_with("# kept by the desk\n"));
    wait_until("no group serves in the zone", async || {
        let status = status(&site).await;
        let in_zone = |group: &cuminlb_caller::GroupStatus| group.zone.as_str() == "lami";
        status
            .groups()
            .filter(|group| in_zone(group))
            .all(|group| group.owned.is_none_or(|owned| owned.taken == SlotCount(0)))
            && !status
                .zones
                .iter()
                .any(|zone| zone.id.as_str() == "lami" && zone.takes_work)
    })
    .await
    .unwrap();
    let again = cuminctl(&site, &["zone", "out", "lami"]).await;
    assert_exit_status(&again, 0);
    assert!(stdout(&again).contains("already"), "{again:?}");
    assert_eq!(current_fleet(&site).await.version, out.version);

    assert_exit_status(&cuminctl(&site, &["zone", "in", "lami"]).await, 0);
    assert_eq!(current_fleet(&site).await.body, before.body);
    let unknown = cuminctl(&site, &["zone", "out", "lamy"]).await;
    assert_exit_status(&unknown, 2);
    assert!(stderr(&unknown).contains("lami"), "{unknown:?}");
    site.shut_down().await;
}

#[tokio::test]
async fn status_and_top_show_each_group_as_its_owner_reports_it() {
    let mut site = SiteBuilder::default()
        .nodes(3)
        .model(ModelPlan::new("oar-assist", 3, 1))
        .plain(PlainPlan::new("boat-desk", 1))
        .start_serving()
        .await
        .unwrap();
    for node in 0..3 {
        site.chat(node, "oar-assist", true, 2).await.unwrap();
    }
    let seen = status(&site).await;
    assert_eq!(seen.nodes.len(), 3);
    assert_eq!(seen.groups().count(), 4);
    for group in seen.groups() {
        let owner = group.owner.clone().unwrap();
        let report = seen.nodes.iter().find(|node| node.node == owner).unwrap();
        assert!(report.groups.iter().any(|report| report.group == group.id));
        assert!(group.is_serving(), "{group:?}");
    }
    let answered = seen.nodes.iter().flat_map(|node| &node.teams);
    assert_eq!(answered.map(|team| team.answered).sum::<u64>(), 3);
    assert_exit_status(&cuminctl(&site, &["status", "--check"]).await, 0);

    let text = stdout(&cuminctl(&site, &["status"]).await);
    for expected in [
        "node-2",
        "walu-bay",
        "oar-assist",
        "serving",
        "zone lami is in",
    ] {
        assert!(text.contains(expected), "no `{expected}` in:\n{text}");
    }
    let top = cuminctl(&site, &["top", "--once"]).await;
    assert_exit_status(&top, 0);
    for expected in ["ZONE", "SERVICE", "TEAM", "suva-rowing", "boat-desk", "3/3"] {
        assert!(
            stdout(&top).contains(expected),
            "no `{expected}` in:\n{}",
            stdout(&top)
        );
    }
    let top = cuminctl(&site, &["top", "--once", "--json"]).await;
    serde_json::from_slice::<FleetStatus>(&top.stdout).unwrap();

    // A listed node that doesn't respond is named, and the check fails.
    site.nodes[2].process.kill().await;
    let check = cuminctl(&site, &["status", "--check"]).await;
    assert_exit_status(&check, 9);
    assert!(
        stdout(&check).contains("node-2 gave no answer"),
        "{check:?}"
    );
    site.shut_down().await;
}
