use super::{Queue, Refusal, Refused, Settings, Waiting};
use crate::time::Instant;
use quickcheck::quickcheck;
use std::collections::HashMap;

fn waiting(organisation: &str, tokens: u64, may_wait: bool) -> Waiting<u32> {
    Waiting {
        organisation: organisation.into(),
        may_wait,
        rank: 0,
        tokens,
        arrived: Instant::default(),
        target: Instant::from_millis(30_000),
        deadline: Instant::from_millis(60_000),
        returned: false,
        item: 0,
    }
}

fn queue() -> Queue<u32> {
    Queue::new(Settings {
        max_per_organisation: 10_000,
        max_total: 100_000,
        may_wait_every: 4,
        late_every: 8,
    })
}

fn dequeue(queue: &mut Queue<u32>) -> Option<Waiting<u32>> {
    queue.dequeue(Instant::default(), |_| Some(())).map(|(waiting, ())| waiting)
}

quickcheck! {
    /// While two organisations wait, the tokens served to each differ by at most one request of
    /// each.
    fn tokens_served_stay_balanced_between_organisations(sizes: Vec<(bool, u8)>) -> bool {
        let mut queue = queue();
        let mut remaining: HashMap<&str, usize> = HashMap::new();
        for (first, tokens) in &sizes {
            let name = if *first { "a" } else { "b" };
            *remaining.entry(name).or_default() += 1;
            queue.push(Instant::default(), waiting(name, u64::from(*tokens) + 1, false)).unwrap();
        }
        let mut served: HashMap<String, u64> = HashMap::new();
        while remaining.len() == 2 && remaining.values().all(|count| *count > 0) {
            let next = dequeue(&mut queue).unwrap();
            *served.entry(next.organisation.to_string()).or_default() += next.tokens;
            *remaining.get_mut(&*next.organisation).unwrap() -= 1;
            let of = |name: &str| served.get(name).copied().unwrap_or(0);
            if of("a").abs_diff(of("b")) > 2 * 256 {
                return false;
            }
        }
        true
    }

    /// An organisation that joins a backlog waits for at most one request of each other
    /// organisation.
    fn an_organisation_that_joins_a_backlog_is_not_starved(flood: u8, others: u8, tokens: u8) -> bool {
        let mut queue = queue();
        let others = usize::from(others % 8) + 1;
        for other in 0..others {
            for _ in 0..=flood {
                let size = u64::from(tokens) + 1;
                queue.push(Instant::default(), waiting(&format!("o{other}"), size, false)).unwrap();
            }
        }
        dequeue(&mut queue);
        queue.push(Instant::default(), waiting("late", 1, false)).unwrap();
        let dequeues = std::iter::from_fn(|| dequeue(&mut queue))
            .position(|next| &*next.organisation == "late")
            .unwrap();
        dequeues <= others
    }

    /// A request that may wait gets every fourth dequeue, regardless of how many interactive ones
    /// wait.
    fn may_wait_is_not_starved(interactive: u8) -> bool {
        let mut queue = queue();
        queue.push(Instant::default(), waiting("a", 1, true)).unwrap();
        for _ in 0..interactive {
            queue.push(Instant::default(), waiting("b", 1, false)).unwrap();
        }
        let dequeues = std::iter::from_fn(|| dequeue(&mut queue)).position(|next| next.may_wait);
        dequeues.unwrap() < 4
    }

    /// A late request gets every eighth dequeue, regardless of how many others are on time.
    fn late_is_not_starved(interactive: u8) -> bool {
        let mut queue = queue();
        let past = Instant::default();
        let late = Waiting { target: past, item: 1, ..waiting("a", 1, false) };
        queue.push(past, late).unwrap();
        for _ in 0..interactive {
            queue.push(past, waiting("b", 1, false)).unwrap();
        }
        let dequeues = std::iter::from_fn(|| dequeue(&mut queue)).position(|next| next.item == 1);
        dequeues.unwrap() < 8
    }

    fn no_request_is_lost_or_duplicated(events: Vec<(u8, bool, bool)>) -> bool {
        let mut queue = queue();
        let (mut pushed, mut dequeued) = (0_u32, Vec::new());
        for (organisation, may_wait, is_push) in events {
            if is_push {
                let name = format!("o{}", organisation % 5);
                let entry = Waiting { item: pushed, ..waiting(&name, 3, may_wait) };
                queue.push(Instant::default(), entry).unwrap();
                pushed += 1;
            } else if let Some(next) = dequeue(&mut queue) {
                dequeued.push(next.item);
            }
        }
        dequeued.extend(std::iter::from_fn(|| dequeue(&mut queue)).map(|next| next.item));
        dequeued.sort_unstable();
        dequeued == (0..pushed).collect::<Vec<_>>() && queue.is_empty()
    }
}

#[test]
fn interactive_goes_before_may_wait() {
    let mut queue = queue();
    queue.push(Instant::default(), waiting("a", 1, true)).unwrap();
    queue.push(Instant::default(), waiting("a", 1, false)).unwrap();

    let first = dequeue(&mut queue).unwrap();

    assert!(!first.may_wait);
}

#[test]
fn one_organisation_cannot_fill_the_queue() {
    let mut queue = Queue::new(Settings { max_per_organisation: 1, ..Settings::default() });
    queue.push(Instant::default(), waiting("a", 1, false)).unwrap();

    let second = queue.push(Instant::default(), waiting("a", 1, false));
    let other = queue.push(Instant::default(), waiting("b", 1, false));

    assert_eq!(second, Err(Refused { reason: Refusal::OrganisationFull, item: 0 }));
    assert!(other.is_ok());
}

#[test]
fn a_deadline_that_cannot_be_met_is_refused_at_once() {
    let mut queue = queue();
    for _ in 0..100 {
        queue.push(Instant::default(), waiting("a", 1, false)).unwrap();
    }
    for index in 0..50 {
        queue.dequeue(Instant::from_millis(index * 100), |_| Some(()));
    }
    let now = Instant::from_millis(5_000);

    let refused = queue
        .push(now, Waiting { deadline: Instant::from_millis(5_500), ..waiting("a", 1, false) });

    let reason = refused.unwrap_err().reason;
    assert!(matches!(reason, Refusal::Deadline { wait_ms } if wait_ms > 500));
}

#[test]
fn a_request_whose_deadline_passed_expires() {
    let mut queue = queue();
    queue.push(Instant::default(), waiting("a", 1, false)).unwrap();

    let expired = queue.expire(Instant::from_millis(60_000), |_| false);

    assert_eq!(expired.len(), 1);
    assert!(queue.is_empty());
}

#[test]
fn a_returned_request_is_at_the_front_and_not_charged_twice() {
    let mut queue = queue();
    queue.push(Instant::default(), waiting("a", 5, false)).unwrap();
    queue.push(Instant::default(), waiting("b", 5, false)).unwrap();
    let first = dequeue(&mut queue).unwrap();
    queue.push(Instant::default(), Waiting { returned: true, item: 7, ..first }).unwrap();
    queue.push(Instant::default(), waiting("a", 5, false)).unwrap();

    let order: Vec<_> = std::iter::from_fn(|| dequeue(&mut queue)).map(|next| next.item).collect();

    assert!(order.iter().position(|item| *item == 7).unwrap() <= 1);
}

#[test]
fn a_request_on_time_goes_before_one_that_is_late() {
    let mut queue = queue();
    let late = Waiting { target: Instant::default(), item: 1, ..waiting("a", 1, false) };
    queue.push(Instant::default(), late).unwrap();
    queue.push(Instant::default(), waiting("a", 1, false)).unwrap();

    let order: Vec<_> = std::iter::from_fn(|| dequeue(&mut queue)).map(|next| next.item).collect();

    assert_eq!(order, [0, 1]);
}

#[test]
fn requests_of_a_lower_rank_go_first_and_organisations_share_within_a_rank() {
    let mut queue = queue();
    for (organisation, rank, item) in
        [("a", 2, 1), ("a", 1, 2), ("a", 1, 3), ("b", 1, 4), ("b", 0, 5), ("a", 1, 6)]
    {
        let entry = Waiting { rank, item, ..waiting(organisation, 1, false) };
        queue.push(Instant::default(), entry).unwrap();
    }

    let order: Vec<_> = std::iter::from_fn(|| dequeue(&mut queue)).map(|next| next.item).collect();

    assert_eq!((order[0], order[5]), (5, 1));
    let first_of_b = order.iter().position(|item| *item == 4).unwrap();
    assert!(first_of_b <= 3, "{order:?}");
}

#[test]
fn a_late_request_goes_after_one_in_time_of_any_rank_and_one_that_does_not_fit_holds_up_no_other_rank()
 {
    let mut queue = queue();
    let late = Waiting { target: Instant::default(), item: 1, ..waiting("a", 1, false) };
    queue.push(Instant::default(), late).unwrap();
    for (rank, item) in [(0, 2), (0, 3), (1, 4)] {
        queue.push(Instant::default(), Waiting { rank, item, ..waiting("a", 1, false) }).unwrap();
    }

    let fits = |waiting: &Waiting<u32>| (waiting.item != 2).then_some(());
    let first = queue.dequeue(Instant::default(), fits).unwrap().0.item;
    let others: Vec<_> = std::iter::from_fn(|| dequeue(&mut queue)).map(|next| next.item).collect();

    assert_eq!((first, others), (4, vec![2, 3, 1]));
}

#[test]
fn the_request_to_evict_is_the_youngest_of_the_highest_rank_above_the_incoming_one() {
    let mut queue = queue();
    let mut keys = Vec::new();
    for (rank, arrived) in [(0, 9), (1, 3), (2, 1), (2, 5), (2, 2)] {
        let arrived = Instant::from_millis(arrived);
        let entry = Waiting { rank, arrived, ..waiting("a", 1, false) };
        keys.push(queue.push(Instant::default(), entry).unwrap());
    }

    assert_eq!(queue.least_urgent(0, |_| true), Some(keys[3]));
    assert_eq!(queue.least_urgent(2, |_| true), None);
    assert_eq!(queue.least_urgent(0, |waiting| waiting.rank < 2), Some(keys[1]));
}
