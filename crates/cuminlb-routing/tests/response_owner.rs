//! Tests of which responses say something about a request.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use cuminlb_routing::ResponseOwner;
use cuminlb_types::prelude::*;

fn id(text: &str) -> RequestId {
    text.parse().unwrap()
}

#[test]
fn a_response_that_names_the_request_belongs_to_it() {
    for is_first in [true, false] {
        let owner = ResponseOwner::new(Some(&id("a")), &id("a"), is_first);
        assert_eq!(owner, ResponseOwner::Request);
    }
}

#[test]
fn a_response_that_names_another_request_does_not_belong_to_this_one() {
    for is_first in [true, false] {
        let owner = ResponseOwner::new(Some(&id("b")), &id("a"), is_first);
        assert_eq!(owner, ResponseOwner::Other);
    }
}

#[test]
fn a_response_without_an_id_belongs_to_the_first_request_of_its_connection_only() {
    let owner = ResponseOwner::new(None, &id("a"), true);
    assert_eq!(owner, ResponseOwner::Request);
    let owner = ResponseOwner::new(None, &id("a"), false);
    assert_eq!(owner, ResponseOwner::Unknown);
}
