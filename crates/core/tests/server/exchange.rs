//! Complete exchanges between entry hosts, the side process, and the engine or plain service,
//! checked against golden transcripts.

use super::payload::{decode, forward, prefill, reserve};
use super::world::World;
use chestnutrack_core::server::Event;
use chestnutrack_document::model::Role;
use chestnutrack_wire::frame::Ran;
use chestnutrack_wire::{Attempt, Frame, Request};
use expect_test::expect;

const ATTEMPT: Attempt = Attempt(1);

fn reserve_frame(request: u128) -> Frame {
    Frame::Reserve(Request(request), ATTEMPT, reserve("dairy-coop", 200, 1_000))
}

fn decode_frame(request: u128) -> Frame {
    Frame::Decode(Request(request), ATTEMPT, decode(100))
}

fn with_reservation() -> World {
    let mut world = World::new(Role::Decode);
    world.send(0, reserve_frame(1));
    world
}

fn with_running_answer() -> World {
    let mut world = with_reservation();
    world.send(0, decode_frame(1));
    world.settle();
    world.advance_stream(0, false);
    world
}

#[test]
fn a_streamed_answer() {
    let mut world = with_running_answer();
    world.advance_stream(0, false);
    world.advance_stream(0, true);
    world.send(0, Frame::Done(Request(1), ATTEMPT));

    expect![[r#"
            0 entry-1 > side: hello entry-1#100
            0 side > entry-1: hello server-1#77
            0 side > entry-1: loaded [0/3 slots, 0 waiting, 0 tokens]
            0 entry-1 > side: reserve 1.1 200 tokens
            0 side > entry-1: reserved 1.1 ready in 0 ms [1/3 slots, 0 waiting, 200 tokens]
            0 entry-1 > side: decode 1.1
            0 side > engine: import 1.1 200 tokens fence 1
            0 engine > side: ok: import 1.1 200 tokens fence 1
            0 side > engine: decode 1.1 up to 100 priority 1 fence 1
            0 engine > side: ok: decode 1.1 up to 100 priority 1 fence 1
            0 side > entry-1: tokens 1.1 at 0: w0
            0 side > entry-1: tokens 1.1 at 1: w1
            0 side > entry-1: end 1.1 2 length [0/3 slots, 0 waiting, 0 tokens]
            0 entry-1 > side: done 1.1
    "#]]
    .assert_eq(&world.lines());
}

#[test]
fn a_prefill() {
    let mut world = World::new(Role::Prefill);
    let payload = prefill("dairy-coop", 100, 1_000);
    world.send(0, Frame::Prefill(Request(1), ATTEMPT, payload));
    world.settle();
    world.send(0, Frame::Done(Request(1), ATTEMPT));
    world.settle();

    expect![[r#"
            0 entry-1 > side: hello entry-1#100
            0 side > entry-1: hello server-1#77
            0 side > entry-1: loaded [0/3 slots, 0 waiting, 0 tokens]
            0 entry-1 > side: prefill 1.1 100 tokens
            0 side > engine: prefill 1.1 priority 1 fence 1
            0 engine > side: ok: prefill 1.1 priority 1 fence 1
            0 side > entry-1: prefilled 1.1 100 tokens
            0 entry-1 > side: done 1.1
            0 side > engine: cancel 1.1 fence 1
            0 engine > side: ok: cancel 1.1 fence 1
    "#]]
    .assert_eq(&world.lines());
}

#[test]
fn a_cancel_that_overtakes_an_import() {
    let mut world = with_reservation();
    world.send(0, decode_frame(1));
    world.send(0, Frame::Cancel(Request(1), ATTEMPT));
    world.deliver_order(1);
    world.deliver_answer(1, false);
    world.deliver_order(0);
    world.deliver_answer(0, false);
    world.settle();

    assert!(world.engine.is_empty());
    expect![[r#"
            0 entry-1 > side: hello entry-1#100
            0 side > entry-1: hello server-1#77
            0 side > entry-1: loaded [0/3 slots, 0 waiting, 0 tokens]
            0 entry-1 > side: reserve 1.1 200 tokens
            0 side > entry-1: reserved 1.1 ready in 0 ms [1/3 slots, 0 waiting, 200 tokens]
            0 entry-1 > side: decode 1.1
            0 side > engine: import 1.1 200 tokens fence 1
            0 entry-1 > side: cancel 1.1
            0 side > engine: cancel 1.1 fence 1
            0 engine > side: ok: cancel 1.1 fence 1
            0 engine > side: ok: import 1.1 200 tokens fence 1
            0 side > engine: cancel 1.1 fence 1
            0 engine > side: ok: cancel 1.1 fence 1
    "#]]
    .assert_eq(&world.lines());
}

#[test]
fn an_answer_resumed_on_a_new_connection() {
    let mut world = with_running_answer();
    world.disconnect(0);
    world.advance_stream(0, false);
    world.advance_settled(300);
    world.connect(0);
    world.send(0, Frame::Resume(Request(1), ATTEMPT, 1));
    world.advance_stream(0, true);

    expect![[r#"
        0 entry-1 > side: hello entry-1#100
        0 side > entry-1: hello server-1#77
        0 side > entry-1: loaded [0/3 slots, 0 waiting, 0 tokens]
        0 entry-1 > side: reserve 1.1 200 tokens
        0 side > entry-1: reserved 1.1 ready in 0 ms [1/3 slots, 0 waiting, 200 tokens]
        0 entry-1 > side: decode 1.1
        0 side > engine: import 1.1 200 tokens fence 1
        0 engine > side: ok: import 1.1 200 tokens fence 1
        0 side > engine: decode 1.1 up to 100 priority 1 fence 1
        0 engine > side: ok: decode 1.1 up to 100 priority 1 fence 1
        0 side > entry-1: tokens 1.1 at 0: w0
        0 entry-1: connection ends
        300 entry-1 > side: hello entry-1#100
        300 side > entry-1: hello server-1#77
        300 side > entry-1: loaded [1/3 slots, 0 waiting, 200 tokens]
        300 entry-1 > side: resume 1.1 at 1
        300 side > entry-1: tokens 1.1 at 1: w1
        300 side > entry-1: end 1.1 2 length [0/3 slots, 0 waiting, 0 tokens]
    "#]]
    .assert_eq(&world.lines());
}

#[test]
fn an_answer_whose_host_is_gone() {
    let mut world = with_running_answer();
    world.disconnect(0);
    world.advance_settled(1_000);

    assert!(world.engine.is_empty());
    expect![[r#"
        0 entry-1 > side: hello entry-1#100
        0 side > entry-1: hello server-1#77
        0 side > entry-1: loaded [0/3 slots, 0 waiting, 0 tokens]
        0 entry-1 > side: reserve 1.1 200 tokens
        0 side > entry-1: reserved 1.1 ready in 0 ms [1/3 slots, 0 waiting, 200 tokens]
        0 entry-1 > side: decode 1.1
        0 side > engine: import 1.1 200 tokens fence 1
        0 engine > side: ok: import 1.1 200 tokens fence 1
        0 side > engine: decode 1.1 up to 100 priority 1 fence 1
        0 engine > side: ok: decode 1.1 up to 100 priority 1 fence 1
        0 side > entry-1: tokens 1.1 at 0: w0
        0 entry-1: connection ends
        720 side > engine: cancel 1.1 fence 1
        720 engine > side: ok: cancel 1.1 fence 1
    "#]]
    .assert_eq(&world.lines());
}

#[test]
fn a_server_that_is_drained() {
    let mut world = with_running_answer();
    world.send(1, reserve_frame(2));
    world.configure(true);
    world.send(1, reserve_frame(3));
    world.advance_settled(2_100);
    world.send(1, decode_frame(2));
    world.advance_stream(0, true);
    world.send(0, Frame::Done(Request(1), ATTEMPT));

    assert!(world.server.is_idle());
    expect![[r#"
        0 entry-1 > side: hello entry-1#100
        0 side > entry-1: hello server-1#77
        0 side > entry-1: loaded [0/3 slots, 0 waiting, 0 tokens]
        0 entry-1 > side: reserve 1.1 200 tokens
        0 side > entry-1: reserved 1.1 ready in 0 ms [1/3 slots, 0 waiting, 200 tokens]
        0 entry-1 > side: decode 1.1
        0 side > engine: import 1.1 200 tokens fence 1
        0 engine > side: ok: import 1.1 200 tokens fence 1
        0 side > engine: decode 1.1 up to 100 priority 1 fence 1
        0 engine > side: ok: decode 1.1 up to 100 priority 1 fence 1
        0 side > entry-1: tokens 1.1 at 0: w0
        0 entry-2 > side: hello entry-2#200
        0 side > entry-2: hello server-1#77
        0 side > entry-2: loaded [1/3 slots, 0 waiting, 200 tokens]
        0 entry-2 > side: reserve 2.1 200 tokens
        0 side > entry-2: reserved 2.1 ready in 0 ms [2/3 slots, 0 waiting, 400 tokens]
        0 side > entry-1: leaving
        0 side > entry-2: leaving
        0 entry-2 > side: reserve 3.1 200 tokens
        0 side > entry-2: failed 3.1 Leaving not-run retry after 0 ms [2/3 slots, 0 waiting, 400 tokens]
        0 side > entry-1: loaded [2/3 slots, 0 waiting, 400 tokens]
        0 side > entry-2: loaded [2/3 slots, 0 waiting, 400 tokens]
        2020 side > entry-2: failed 2.1 Leaving not-run retry after 0 ms [1/3 slots, 0 waiting, 200 tokens]
        2040 side > entry-1: loaded [1/3 slots, 0 waiting, 200 tokens]
        2040 side > entry-2: loaded [1/3 slots, 0 waiting, 200 tokens]
        2100 entry-2 > side: decode 2.1
        2100 side > entry-2: failed 2.1 Leaving not-run retry after 0 ms [1/3 slots, 0 waiting, 200 tokens]
        2100 side > entry-1: end 1.1 1 length [0/3 slots, 0 waiting, 0 tokens]
        2100 entry-1 > side: done 1.1
    "#]].assert_eq(&world.lines());
}

#[test]
fn plain_calls_one_of_which_breaks() {
    let mut world = World::new(Role::Plain);
    for request in 1..=2 {
        world.send(0, Frame::Forward(Request(request), ATTEMPT, forward(100, 1_000)));
    }
    let (first, second) = (world.calls[0].0, world.calls[1].0);
    world.event(Event::Head(first, 201, Vec::new()));
    world.event(Event::Body(first, b"paid".to_vec()));
    world.event(Event::BodyEnd(first));
    world.event(Event::CallFailed(second, Ran::Unknown));
    world.send(0, Frame::Forward(Request(2), ATTEMPT, forward(100, 1_000)));

    expect![[r#"
            0 entry-1 > side: hello entry-1#100
            0 side > entry-1: hello server-1#77
            0 side > entry-1: loaded [0/3 slots, 0 waiting, 0 tokens]
            0 entry-1 > side: forward 1.1 POST /deposits
            0 entry-1 > side: forward 2.1 POST /deposits
            0 side > entry-1: head 1.1 201
            0 side > entry-1: body 1.1 at 0: paid
            0 side > entry-1: body end 1.1 4 [1/3 slots, 0 waiting, 0 tokens]
            0 side > entry-1: failed 2.1 Backend unknown retry after 0 ms [0/3 slots, 0 waiting, 0 tokens]
            0 entry-1 > side: forward 2.1 POST /deposits
            0 side > entry-1: failed 2.1 Backend unknown retry after 0 ms [0/3 slots, 0 waiting, 0 tokens]
    "#]].assert_eq(&world.lines());
}
