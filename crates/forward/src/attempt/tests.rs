use super::events::Events;
use quickcheck::quickcheck;

fn stream() -> Vec<u8> {
    b"id: 1\ndata: a\n\nweights: 2\nid: 2\ndata: b\n\ndata: c\n\n".to_vec()
}

quickcheck! {
    fn events_come_whole_however_the_stream_is_cut(cuts: Vec<u8>) -> bool {
        let whole = stream();
        let mut rest = &whole[..];
        let mut events = Events::default();
        let mut seen = Vec::new();
        for cut in cuts.into_iter().chain([255]) {
            let (now, later) = rest.split_at(usize::from(cut).min(rest.len()));
            rest = later;
            events.push(now);
            seen.extend(std::iter::from_fn(|| events.next()));
        }
        let ids: Vec<_> = seen.iter().map(|event| event.id).collect();
        let bytes: Vec<u8> = seen.iter().flat_map(|event| event.bytes.to_vec()).collect();
        ids == [Some(1), Some(2), None] && bytes == whole && !events.has_part()
    }
}

#[test]
fn an_event_without_its_end_is_a_part() {
    let mut events = Events::default();

    events.push(b"id: 1\ndata: a\n");

    assert_eq!(events.next(), None);
    assert!(events.has_part());
}
