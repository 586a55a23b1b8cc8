use super::events::{EventSplitter, MAX_EVENT_BYTES};
use quickcheck::quickcheck;

fn sample_stream() -> Vec<u8> {
    b"id: 1\ndata: a\n\nweights: 2\nid: 2\ndata: b\n\ndata: c\n\n".to_vec()
}

quickcheck! {
    fn events_are_whole_wherever_the_stream_is_cut(cuts: Vec<u8>) -> bool {
        let input = sample_stream();
        let mut rest = &input[..];
        let mut events = EventSplitter::default();
        let mut split = Vec::new();
        for cut in cuts.into_iter().chain([255]) {
            let (chunk, remaining) = rest.split_at(usize::from(cut).min(rest.len()));
            rest = remaining;
            events.push(chunk);
            split.extend(std::iter::from_fn(|| events.next()));
        }
        let ids: Vec<_> = split.iter().map(|event| event.id).collect();
        let bytes: Vec<u8> = split.iter().flat_map(|event| event.bytes.to_vec()).collect();
        ids == [Some(1), Some(2), None] && bytes == input && !events.has_partial_event()
    }
}

#[test]
fn an_event_without_its_end_is_partial() {
    let mut events = EventSplitter::default();

    events.push(b"id: 1\ndata: a\n");

    assert_eq!(events.next(), None);
    assert!(events.has_partial_event());
}

/// Returns the bytes of an event of the given length.
fn event_of(length: usize) -> Vec<u8> {
    let mut event = vec![b'a'; length];
    event[length - 2..].copy_from_slice(b"\n\n");
    event
}

// Guards against a limit that refuses the largest event, or depends on how the stream is cut.
#[test]
fn the_largest_event_is_whole_and_a_larger_one_is_oversized_wherever_they_are_cut() {
    for cut in [1, 2, MAX_EVENT_BYTES - 1, MAX_EVENT_BYTES] {
        let (mut largest, mut larger) = (EventSplitter::default(), EventSplitter::default());

        for part in event_of(MAX_EVENT_BYTES).chunks(cut) {
            assert_eq!((largest.next(), largest.is_oversized()), (None, false));
            largest.push(part);
        }
        for part in event_of(MAX_EVENT_BYTES + 1).chunks(cut) {
            larger.push(part);
            assert_eq!(larger.next(), None);
        }

        assert_eq!(largest.next().map(|event| event.bytes.len()), Some(MAX_EVENT_BYTES));
        assert_eq!((largest.is_oversized(), larger.is_oversized()), (false, true));
    }
}

#[test]
fn an_oversized_event_is_forgotten_when_the_buffer_is_cleared() {
    let mut events = EventSplitter::default();
    events.push(&event_of(MAX_EVENT_BYTES + 1));
    assert_eq!((events.next(), events.is_oversized()), (None, true));

    events.clear();
    events.push(b"id: 1\n\n");

    assert_eq!((events.next().and_then(|event| event.id), events.is_oversized()), (Some(1), false));
}
