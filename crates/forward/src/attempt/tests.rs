use super::events::EventSplitter;
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
