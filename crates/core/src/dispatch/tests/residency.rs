//! Requests that may reach the servers of certain regions only.

use super::choice::{self, NOW, request};
use super::simulation::{entry, service};
use crate::dispatch::{
    Dispatch, Effect, Entry, EvacuationList, Placement, Request, Residency, ServerKey, Stage,
};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Returns the entry of a server in a failure domain; a plain one without a stage.
fn server(number: usize, stage: Option<Stage>, domain: &str) -> Entry {
    Entry { stage, failure_domain: domain.into(), ..entry(number, true) }
}

/// Returns a host in the region `north` that knows these servers, and their keys. The domains n1 and n2 are in `north`, s1
/// in `south`, and others in no region.
fn servers(servers: &[(Option<Stage>, &str)]) -> (Dispatch<u32>, Vec<ServerKey>) {
    let mut dispatch = choice::dispatch(0, 0);
    let regions = [("n1", "north"), ("n2", "north"), ("s1", "south")];
    let regions: BTreeMap<Arc<str>, Arc<str>> =
        regions.into_iter().map(|(domain, region)| (domain.into(), region.into())).collect();
    dispatch.set_regions(regions);
    let entries = servers.iter().enumerate().map(|(n, (stage, domain))| server(n, *stage, domain));
    let keys = entries.map(|entry| dispatch.put(NOW, entry).0).collect();
    (dispatch, keys)
}

/// Returns the residency for one list of allowed regions.
fn within(regions: &[&str]) -> Residency {
    Residency::new([Some(&*names(regions)), None])
}

fn names(names: &[&str]) -> Vec<Arc<str>> {
    names.iter().map(|name| Arc::from(*name)).collect()
}

/// Returns a request that may reach these regions only.
fn bound(regions: &[&str]) -> Request {
    Request { residency: within(regions), ..request() }
}

fn placed(dispatch: &mut Dispatch<u32>, request: Request) -> Placement {
    choice::place(dispatch, request).expect("admitted at once")
}

const DECODE: Option<Stage> = Some(Stage::Decode);
const PREFILL: Option<Stage> = Some(Stage::Prefill);

// Guards against a list that replaces the other one, and against a missing list that allows nothing.
#[test]
fn of_two_lists_both_bind_and_one_that_is_not_stated_allows_all() {
    let (dispatch, keys) = servers(&[(None, "n1"), (None, "s1"), (None, "elsewhere")]);
    let (north, both) = (names(&["north"]), names(&["south", "north"]));
    let south = names(&["south"]);
    let allowed = |lists: [Option<&[Arc<str>]>; 2]| {
        let residency = Residency::new(lists);
        keys.iter().map(|key| dispatch.is_allowed(*key, &residency)).collect::<Vec<bool>>()
    };

    assert_eq!(allowed([None, None]), [true, true, true]);
    assert_eq!(allowed([Some(&north), None]), [true, false, false]);
    assert_eq!(allowed([None, Some(&both)]), [true, true, false]);
    assert_eq!(allowed([Some(&north), Some(&both)]), [true, false, false]);
    assert_eq!(allowed([Some(&north), Some(&south)]), [false, false, false]);
    assert_eq!(allowed([Some(&[]), None]), [false, false, false]);
}

// Guards against requests to a plain service in another region, also after a retry.
#[test]
fn a_plain_request_reaches_servers_of_its_regions_only() {
    let (mut dispatch, keys) =
        servers(&[(None, "n1"), (None, "s1"), (None, "s1"), (None, "elsewhere")]);

    let first = dispatch.place_plain_within(NOW, &service(), &[], &within(&["north"]));
    let retry = dispatch.place_plain_within(NOW, &service(), &[keys[0]], &within(&["north"]));

    assert_eq!((first.map(|choice| choice.key), retry), (Some(keys[0]), None));
}

// Guards against a KV cache in another region: neither decode nor prefill, nor a prefill that is repeated, may be there.
#[test]
fn a_generation_decodes_and_prefills_in_its_regions_only() {
    let (mut dispatch, keys) =
        servers(&[(DECODE, "s1"), (DECODE, "n1"), (PREFILL, "s1"), (PREFILL, "n2")]);

    let placements = [0, 1, 2].map(|_| placed(&mut dispatch, bound(&["north"])));
    let generation = placements[0].generation;
    let may = dispatch.may_prefill_elsewhere(NOW, generation, &[keys[3]]);
    let elsewhere = dispatch.prefill_elsewhere(NOW, generation, None, &[keys[3]]);

    for placement in placements {
        assert_eq!((placement.decode, placement.prefill), (keys[1], Some(keys[3])));
    }
    assert_eq!((may, elsewhere), (false, None));
}

// Guards against a prompt that is sent to another region because that region alone has prefill engines.
#[test]
fn without_prefill_engines_in_its_regions_the_decode_engine_prefills() {
    let (mut dispatch, keys) = servers(&[(DECODE, "n1"), (PREFILL, "s1")]);

    let placement = placed(&mut dispatch, bound(&["north"]));

    assert_eq!((placement.decode, placement.prefill), (keys[0], None));
}

// Load pattern: generations run in another region, whose ends make no room for the request.
#[test]
fn a_request_that_no_server_may_get_is_refused_at_once_with_the_longest_retry_time() {
    let (mut dispatch, _) = servers(&[(DECODE, "s1"), (DECODE, "elsewhere")]);
    placed(&mut dispatch, request());
    let bounds = [&["north"][..], &[], &["nowhere", "north"]];
    for regions in bounds {
        let patient =
            Request { first_token_by: Some(NOW + Duration::from_secs(9)), ..bound(regions) };

        let result = dispatch.submit(NOW, patient, 7);

        let longest = Duration::from_secs(8);
        assert!(
            matches!(result, Err(Effect::Refuse(7, refusal)) if refusal.retry_after == longest),
            "{regions:?}: {result:?}"
        );
    }
}

// Load pattern: the engines of one region are full, and requests that are bound to it wait.
#[test]
fn a_request_that_waits_for_its_region_holds_up_no_other() {
    let (mut dispatch, keys) = servers(&[(DECODE, "n1"), (DECODE, "s1")]);
    let patient = Request {
        first_token_by: Some(NOW + Duration::from_secs(60)),
        deadline: NOW + Duration::from_secs(90),
        ..bound(&["north"])
    };
    while choice::place(&mut dispatch, patient.clone()).is_some() {}

    let placement = choice::place(&mut dispatch, request());

    assert!(dispatch.has_waiting());
    assert_eq!(placement.map(|placement| placement.decode), Some(keys[1]));
}

// Guards against a request that leaves its region because the domains there are evacuated.
#[test]
fn with_its_region_evacuated_a_request_is_refused_and_goes_nowhere_else() {
    let (mut dispatch, _) = servers(&[(DECODE, "n1"), (DECODE, "s1")]);
    let domains = [Arc::from("n1")].into();
    dispatch.apply_evacuations(NOW, EvacuationList { epoch: 0, version: 7, domains }, &[]);

    let result = dispatch.submit(NOW, bound(&["north"]), 7);

    assert!(matches!(result, Err(Effect::Refuse(7, _))), "{result:?}");
    assert!(choice::place(&mut dispatch, request()).is_some());
}

// Guards against a region that is taken from an entry of before, when a server's entry names another domain.
#[test]
fn a_server_whose_entry_names_another_domain_has_the_region_of_that_domain() {
    let (mut dispatch, keys) = servers(&[(None, "n1")]);

    let (key, _) = dispatch.put(NOW, server(0, None, "s1"));

    assert_eq!(key, keys[0]);
    assert!(!dispatch.is_allowed(key, &within(&["north"])));
    assert!(dispatch.is_allowed(key, &within(&["south"])));
}

// Guards against the longest retry time, or a wait, where the servers of a region have only asked for quiet.
#[test]
fn while_the_servers_of_its_region_ask_for_quiet_a_request_is_refused_until_the_first_accepts() {
    let (mut dispatch, keys) = servers(&[(DECODE, "n1"), (DECODE, "n2"), (DECODE, "s1")]);
    dispatch.record_backoff(NOW, keys[0], Duration::from_secs(5));
    dispatch.record_backoff(NOW, keys[1], Duration::from_secs(3));

    let result = dispatch.submit(NOW, bound(&["north"]), 7);

    let first = Duration::from_secs(3);
    assert!(
        matches!(result, Err(Effect::Refuse(7, refusal)) if refusal.retry_after == first),
        "{result:?}"
    );
}
