//! Tests of nodes on the users' platform: responses of instances that pass through another node.

use std::time::Duration;

use cuminlb_native_standins::LinkMode;
use tokio::time::sleep;

use crate::answering_site::{ANSWERING, RESERVE, answering_site_with_links, wait_rows_read};
use crate::answering_worker::{Answer, AnswerEnd, AnsweringWorker, WorkerRequest};
use crate::raw_response::send_raw;

/// The time after a cut from which callers must be served.
const CONTACT: Duration = Duration::from_secs(3);

#[tokio::test(flavor = "multi_thread")]
async fn a_response_that_is_reset_in_its_middle_does_not_look_complete_after_another_node() {
    for version in ["HTTP/1.1", "HTTP/1.0"] {
        let site = answering_site_with_links(2).await;
        let head =
            format!("{version} 200 OK\r\nx-attempt-id: {{id}}\r\nx-response-seal: s\r\n\r\n");
        let answer = Answer::new(head + "first half", AnswerEnd::Reset)
            .and_then(Duration::from_millis(200), "and some more");
        let respond = move |_: &WorkerRequest| answer.clone();
        let _worker = AnsweringWorker::start(&site.fleet, "k0", ANSWERING, respond).await;
        wait_rows_read(&site).await;
        site.set_links(0, LinkMode::Hang).await;
        sleep(CONTACT).await;
        let response = send_raw(&site, RESERVE, "broken").await;
        assert_eq!(site.senders_of("broken"), [1], "{version}");
        assert!(
            !response.text.contains(" 200 OK"),
            "{version}: {response:?}"
        );
    }
}
