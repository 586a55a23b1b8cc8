//! Tests of the records in the store.

use super::{Contents, Known, Origins, Record, Recorder, Recorders, Step, StepResult, Stream};
use crate::time::Instant;
use chestnutrack_wire::codec;
use chestnutrack_wire::frame::{Frame, OriginReport};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

fn stream(number: u64) -> Stream {
    Stream::from(number)
}

fn report(number: u64, build: &str) -> OriginReport {
    OriginReport { stream: number, build: build.into(), left_ms: 5_000, record: false }
}

fn record(number: u64, build: &str, until_s: u64) -> Record {
    Record { stream: stream(number), build: build.into(), until_s }
}

/// Applies the step that is due to a store, whose objects are named by segment, and returns whether there was one.
fn apply(
    recorder: &mut Recorder,
    store: &mut BTreeMap<usize, (u64, Contents)>,
    now_s: u64,
    epoch: u64,
) -> bool {
    match recorder.next(now_s, epoch) {
        Some(Step::Write { segment, version, contents }) => {
            let current = store.get(&segment).map_or(0, |(version, _)| *version);
            if current == version {
                store.insert(segment, (version + 1, contents));
                recorder.record_result(segment, StepResult::Written(version + 1));
            } else {
                recorder.record_result(segment, StepResult::Conflict(current));
            }
            true
        }
        Some(Step::Delete { segment, .. }) => {
            store.remove(&segment);
            recorder.record_result(segment, StepResult::Deleted);
            true
        }
        None => false,
    }
}

fn stored(store: &BTreeMap<usize, (u64, Contents)>, now_s: u64) -> Vec<Record> {
    store.values().flat_map(|(_, contents)| contents.records(now_s)).collect()
}

// Load pattern: a release at 5,500 streams a second at one recorder. Guards against segments that grow beyond the store's
// limit, more than one call a period, and records that outlive their streams.
#[test]
fn a_recorder_under_load_makes_one_call_a_period_and_keeps_nothing_of_ended_streams() {
    let (mut recorder, mut store) = (Recorder::default(), BTreeMap::new());
    let mut next = 0;

    for period in 0..80 {
        let now_s = 100 + period / 4;
        for _ in 0..1_375 {
            recorder.add(record(next, "v1", now_s + 5));
            next += 1;
        }
        assert!(apply(&mut recorder, &mut store, now_s, 0));
    }
    let bytes = store.values().map(|(_, contents)| serde_json::to_string(contents).unwrap().len());
    assert!(bytes.max().unwrap() < 1 << 20);
    assert!(store.len() <= 24, "{} objects", store.len());
    for _ in 0..100 {
        apply(&mut recorder, &mut store, 200, 0);
    }

    assert!(recorder.is_idle() && store.is_empty());
}

// Guards against a write whose answer was lost, after which the recorder's version is too low.
#[test]
fn a_recorder_goes_on_after_a_write_whose_answer_was_lost() {
    let (mut recorder, mut store) = (Recorder::default(), BTreeMap::new());
    recorder.add(record(1, "v1", 50));
    let Some(Step::Write { segment, contents, .. }) = recorder.next(1, 0) else { panic!() };
    store.insert(segment, (7, contents));
    recorder.record_result(segment, StepResult::Failed);

    recorder.add(record(2, "v2", 50));
    while apply(&mut recorder, &mut store, 1, 0) {}

    assert_eq!(stored(&store, 1), [record(1, "v1", 50), record(2, "v2", 50)]);
}

// Guards against records that are taken for stored after the store was restored from a copy without them.
#[test]
fn a_recorder_writes_all_records_again_in_a_new_epoch() {
    let (mut recorder, mut store) = (Recorder::default(), BTreeMap::new());
    recorder.add(record(1, "v1", 50));
    while apply(&mut recorder, &mut store, 1, 0) {}
    store.clear();

    while apply(&mut recorder, &mut store, 2, 1) {}

    assert_eq!(stored(&store, 2), [record(1, "v1", 50)]);
}

// Guards against reports that are written with each host that repeats them.
#[test]
fn a_record_that_is_told_again_is_written_once() {
    let (mut recorder, mut store) = (Recorder::default(), BTreeMap::new());

    assert!(recorder.add(record(1, "v1", 50)));
    while apply(&mut recorder, &mut store, 1, 0) {}

    assert!(!recorder.add(record(1, "v1", 50)));
    assert_eq!(recorder.next(1, 0), None);
}

// Guards against a search that ends before the store was read, and one that has it read for each stream.
#[test]
fn a_stream_that_no_keeper_knows_is_found_in_the_records() {
    let (mut origins, now) = (Origins::default(), Instant(10_000_000));
    origins.read_records();
    for number in [1, 2] {
        origins.find(now, stream(number));
        origins.record_asked(stream(number), 1);
    }
    assert!(!origins.needs_records(now));
    for number in [1, 2] {
        origins.record_unknown(stream(number));
        assert_eq!(origins.find(now, stream(number)), Known::Pending);
    }
    assert!(origins.needs_records(now));

    let report = report(1, "v1");
    origins.record_stored(now, Some((now, &[report])));

    assert_eq!(origins.find(now, stream(1)), Known::Build("v1".into()));
    assert_eq!(origins.find(now, stream(2)), Known::Nowhere);
    origins.find(now, stream(3));
    origins.record_asked(stream(3), 0);
    assert_eq!(origins.find(now, stream(3)), Known::Nowhere, "read again for a stream");
}

// Guards against records that disagree on a stream, of which one is taken.
#[test]
fn records_that_disagree_say_nothing_of_a_stream() {
    let (mut origins, now) = (Origins::default(), Instant(10_000_000));
    origins.read_records();

    let reports = [report(1, "v1"), report(1, "v2"), report(1, "v1"), report(2, "v2")];
    origins.record_stored(now, Some((now, &reports)));

    assert_eq!(origins.build(now, stream(1)), None);
    assert_eq!(origins.build(now, stream(2)), Some("v2".into()));
}

// Guards against values of another writer, or of another version, that end the reading.
#[test]
fn records_that_cannot_be_read_are_left_out() {
    let value = r#"{"streams":{"v1":{"60":"0000000000000001xyz45678xyz456780000"},"v2":{"5":"0000000000000002"}}}"#;
    let contents: Contents = serde_json::from_str(value).unwrap();

    assert_eq!(contents.records(10), [record(1, "v1", 60)]);
}

// Guards against a fleet whose writes grow with its hosts, and a choice that differs among hosts.
#[test]
fn a_few_hosts_of_a_large_fleet_write_records() {
    let names: Vec<Arc<str>> = (0..780).map(|n| format!("host-{n}").into()).collect();
    let recorders = Recorders::new(names.iter().cloned());
    let others = Recorders::new(names.iter().rev().cloned());

    let chosen: BTreeSet<_> = (0..1_000).filter_map(|n| recorders.of(stream(n)).cloned()).collect();

    assert_eq!(chosen.len(), super::records::RECORDERS);
    assert!((0..1_000).all(|n| recorders.of(stream(n)) == others.of(stream(n))));
}

// Guards against records that grow: the costs in docs/CAPACITY.md are worked out from these sizes.
#[test]
fn a_record_takes_16_bytes_beside_its_segment() {
    let bytes = |streams: u64| {
        let (mut recorder, mut store) = (Recorder::default(), BTreeMap::new());
        for number in 0..streams {
            recorder.add(record(number << 40, "vllm-0.9.2+build.1841", 1_790_000_060 + number % 2));
        }
        apply(&mut recorder, &mut store, 1_790_000_000, 0);
        serde_json::to_string(&store[&0].1).unwrap().len()
    };

    assert_eq!(bytes(2), 103);
    assert_eq!(bytes(1_024) - bytes(2), 16 * 1_022);
}

// Guards against messages that grow: the costs in docs/CAPACITY.md are worked out from these sizes.
#[test]
fn a_report_for_a_recorder_takes_64_bytes_beside_its_message() {
    let bytes = |streams: u64| {
        let report = |number: u64| OriginReport {
            left_ms: 32_000,
            record: true,
            ..report(u64::MAX - number, "vllm-0.9.2+build.1841")
        };
        let known = (0..streams).map(report).collect();
        codec::encode(&Frame::Origins { known, unknown: Vec::new() }).unwrap().len()
    };

    assert_eq!((bytes(1), bytes(8) - bytes(1)), (90, 7 * 64));
}

// Load pattern: after a kill of a large fleet, a host finds more records than it has room for. Guards against a stream that is
// searched for and left out, and against a table so full that streams that begin have no room.
#[test]
fn streams_that_are_searched_for_come_first_among_many_records() {
    let (mut origins, now) = (Origins::default(), Instant(10_000_000));
    origins.read_records();
    let searched: Vec<Stream> = (0..100).map(|number| stream(number * 1_000)).collect();
    for stream in &searched {
        origins.find(now, *stream);
        origins.record_asked(*stream, 0);
    }

    let reports: Vec<OriginReport> = (0..100_000).map(|number| report(number, "v1")).collect();
    origins.record_stored(now, Some((now, &reports)));

    assert!(searched.iter().all(|stream| origins.build(now, *stream).is_some()));
    assert!(origins.streams().len() <= (1 << 15) + searched.len());
}

// Guards against hosts of an older version, which know no field `record`, and against a value of another type that is taken for one.
#[test]
fn a_report_of_an_older_host_is_not_for_the_store() {
    let parse = |text: &str| serde_json::from_str::<OriginReport>(text);

    assert_eq!(parse(r#"{"stream":1,"build":"v1","left_ms":5000}"#).unwrap(), report(1, "v1"));
    assert!(!serde_json::to_string(&report(1, "v1")).unwrap().contains("record"));
    for record in ["3", "\"yes\"", "null", "-1", "[]"] {
        let text = format!(r#"{{"stream":1,"build":"v1","left_ms":5,"record":{record}}}"#);
        assert!(parse(&text).is_err(), "{record}");
    }
}
