//! Frames round-trip through the codec, and malformed ones are refused with the offset of the error.

#![allow(clippy::unwrap_used)]

use chestnutrack_wire::codec::{self, Error};
use chestnutrack_wire::frame::{
    Cause, EvacuationReport, Failure, Finish, Frame, HostReport, Load, News, Ran, Reserve, Sender,
};
use chestnutrack_wire::{Attempt, Request, decode, encode};
use quickcheck::{Arbitrary, Gen, TestResult, quickcheck};

#[derive(Clone, Debug)]
struct Sample(Frame);

impl Arbitrary for Sample {
    fn arbitrary(g: &mut Gen) -> Sample {
        let request = Request(u128::arbitrary(g));
        let attempt = Attempt(u32::arbitrary(g));
        let load = Load { used: u32::arbitrary(g), slots: 20, ..Load::default() };
        let text = String::arbitrary(g);
        Sample(match u8::arbitrary(g) % 8 {
            0 => Frame::Hello { version: 1, sender: sender(&text), configuration: 3 },
            1 => Frame::Ping(u64::arbitrary(g)),
            2 => Frame::Configuration { version: 7, document: Vec::arbitrary(g) },
            3 => Frame::Reserve(request, attempt, reserve(&text)),
            4 => Frame::Tokens(request, attempt, u32::arbitrary(g), vec![text.into()]),
            5 => Frame::End(request, attempt, u32::arbitrary(g), Finish::Stop, load),
            6 => Frame::Failed(request, attempt, failure(), load),
            _ => Frame::Body(request, attempt, u64::arbitrary(g), Vec::arbitrary(g)),
        })
    }
}

fn sender(name: &str) -> Sender {
    Sender { name: name.into(), incarnation: 9 }
}

fn reserve(organisation: &str) -> Reserve {
    Reserve {
        organisation: organisation.into(),
        may_wait: true,
        kv_tokens: 1_500,
        transfer_tokens: 1_000,
        output_tokens: 500,
        wait_ms: 10,
        needed_in_ms: 20,
    }
}

fn failure() -> Failure {
    Failure { ran: Ran::NotRun, cause: Cause::Full, retry_after_ms: 30 }
}

quickcheck! {
    fn a_frame_round_trips(sample: Sample) -> bool {
        decode(&encode(&sample.0).unwrap()) == Ok(sample.0)
    }

    fn a_truncated_frame_is_refused(sample: Sample, length: usize) -> bool {
        let bytes = encode(&sample.0).unwrap();
        decode(&bytes[..length % bytes.len()]).is_err()
    }

    fn decoding_any_bytes_does_not_panic(bytes: Vec<u8>) -> TestResult {
        let _ = decode(&bytes);
        TestResult::passed()
    }
}

#[test]
fn bytes_after_a_frame_are_refused() {
    let mut bytes = encode(&Frame::Ping(1)).unwrap();
    bytes.extend([0, 0]);

    assert_eq!(decode(&bytes), Err(Error::Trailing(2)));
}

#[test]
fn an_unknown_frame_is_named_in_the_error() {
    let mut bytes = Vec::new();
    let newer = ciborium::Value::Map(vec![("teleport".into(), ciborium::Value::from(1))]);
    ciborium::into_writer(&newer, &mut bytes).unwrap();

    let error = decode(&bytes).unwrap_err().to_string();

    assert!(error.starts_with("frame is not understood: unknown variant `teleport`"), "{error}");
}

#[test]
fn an_oversized_frame_is_neither_encoded_nor_decoded() {
    let document = vec![0; codec::FRAME_BYTES_MAX + 1];
    let frame = Frame::Configuration { version: 1, document };

    let refused = encode(&frame).unwrap_err();

    assert!(matches!(refused, Error::TooLarge(_)));
    let bytes = vec![0; codec::FRAME_BYTES_MAX + 1];
    assert_eq!(decode(&bytes), Err(Error::TooLarge(codec::FRAME_BYTES_MAX + 1)));
}

// Guards against a field of evacuations that hosts of adjacent versions, or without evacuations, can't read or pay for.
#[test]
fn gossip_has_evacuations_only_where_they_are_followed() {
    let name = b"evacuations";
    let has_field = |bytes: &[u8]| bytes.windows(name.len()).any(|part| part == name);
    let report = EvacuationReport { version: 1 << 40, domains: vec!["gl-a".into()] };
    let without = Frame::News(Box::default());
    let with = Frame::News(Box::new(News { evacuations: Some(report), ..News::default() }));

    let encoded = [without, with].map(|frame| (encode(&frame).unwrap(), frame));

    assert_eq!(encoded.each_ref().map(|(bytes, _)| has_field(bytes)), [false, true]);
    for (bytes, frame) in encoded {
        assert_eq!(decode(&bytes), Ok(frame));
    }
}

/// Control traffic allowed for each host, in bytes a second.
const CONTROL_BYTES_PER_S: usize = 5_000;
/// Requests a second in the largest deployment that the system is designed for.
const REQUESTS_PER_S: usize = 22_000;
/// Hosts in that deployment.
const HOSTS: usize = 780;

#[test]
fn placement_frames_fit_a_hosts_share_of_control_bytes() {
    let share = CONTROL_BYTES_PER_S * HOSTS / REQUESTS_PER_S;
    let frames = [
        Frame::Ping(1_000_000),
        Frame::Reserve(Request(u128::MAX), Attempt(1), reserve("dairy-coop")),
        Frame::Failed(Request(u128::MAX), Attempt(1), failure(), Load::default()),
    ];

    for frame in frames {
        let bytes = encode(&frame).unwrap().len();
        assert!(bytes <= share, "{bytes} bytes of {share}: {frame:?}");
    }
}

#[test]
fn news_without_the_order_of_waiting_requests_is_read_as_from_a_host_of_an_earlier_version() {
    let news = News { waiting: vec![7], ..News::default() };
    let with_order = News { waiting_order: vec![("model".into(), 200)], ..news.clone() };
    let frames = [news, with_order].map(|news| Frame::News(Box::new(news)));

    let encoded = frames.clone().map(|frame| encode(&frame).unwrap());

    let name = b"waiting_order";
    let states_order = |bytes: &[u8]| bytes.windows(name.len()).any(|window| window == name);
    assert_eq!(encoded.each_ref().map(|bytes| states_order(bytes)), [false, true]);
    assert_eq!(encoded.map(|bytes| decode(&bytes).unwrap()), frames);
}

// Guards against hosts of adjacent versions that can't read each other's gossip: the earlier one names no hosts.
#[test]
fn gossip_without_the_fields_about_hosts_is_read() {
    let host = HostReport { name: "host-1".into(), incarnation: 7, address: "127.0.0.1:9".into() };
    let news = News { fleet_size: 3, stopped: true, hosts: vec![host], ..News::default() };
    let mut value = ciborium::Value::serialized(&news).unwrap();
    let fields = value.as_map_mut().unwrap();
    let all = fields.len();
    fields
        .retain(|(name, _)| !["hosts", "fleet_size", "stopped"].contains(&name.as_text().unwrap()));

    let read: News = value.deserialized().unwrap();

    assert_eq!(value.as_map().unwrap().len(), all - 3);
    assert_eq!(read, News::default());
    assert_eq!(ciborium::Value::serialized(&news).unwrap().deserialized::<News>().unwrap(), news);
}

/// Guards against a frame of a faulty peer that ends the process: nested beyond the stack, or with a length beyond memory.
#[test]
fn frames_that_are_nested_deeply_or_state_huge_lengths_are_refused() {
    let (array, map, tag, open_array) = (0x81, 0xa1, 0xc1, 0x9f);
    let nested = [array, map, tag, open_array].map(|head: u8| vec![head; 1_000_000]);
    let news_field = |head: u8| {
        let mut bytes = encode(&Frame::News(Box::default())).unwrap();
        let name = b"waiting";
        let at = bytes.windows(name.len()).position(|part| part == name).unwrap() + name.len();
        bytes.splice(at..at + 1, vec![head; 100_000]);
        bytes
    };
    // The major types with lengths: bytes, text, array and map, each with a length of eight bytes.
    let lengths = [0x5b, 0x7b, 0x9b, 0xbb].map(|head: u8| [vec![head], vec![0xff; 8]].concat());
    let unknown_field = |length: &[u8]| {
        let mut bytes = encode(&Frame::Ping(7)).unwrap();
        bytes.truncate(bytes.len() - 1);
        bytes.extend(length);
        bytes
    };
    let in_frames = lengths.iter().map(|length| unknown_field(length));
    let fields = [array, map, tag, open_array].map(news_field);

    for bytes in nested.into_iter().chain(fields).chain(in_frames).chain(lengths.clone()) {
        let start = bytes[..bytes.len().min(12)].to_vec();
        assert!(decode(&bytes).is_err(), "{start:x?}");
    }
}
