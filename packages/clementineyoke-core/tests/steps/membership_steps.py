from __future__ import annotations

from random import Random

from behave import given, then, when

from clementineyoke_core.membership import Membership
from clementineyoke_core.membership_update import MembershipUpdate, MemberState
from clementineyoke_core.node import Node


def make_node(number):
    zone = f"zone-{number % 3}"
    return Node(f"node-{number}", "127.0.0.1", 1, number, zone, "region")


def make_view(nodes, own, incarnation=100):
    view = Membership(local_node=own, incarnation=incarnation, rng=Random(1))
    view.apply_host_list(live=nodes, leaving=[])
    return view


@given("a view of {count:d} nodes")
def given_view(context, count):
    context.nodes = [make_node(number) for number in range(count)]
    context.view = make_view(context.nodes, context.nodes[0])
    for node in context.nodes[1:]:
        context.view.record_message(node.node_id, incarnation=100)


@when("{node_id} misses {count:d} probes")
def miss(context, node_id, count):
    for _ in range(count):
        context.view.record_missed_probe(node_id)


@when("{node_id} receives the update that it is down and answers")
def refute(context, node_id):
    subject = make_view(context.nodes, context.nodes[3])
    updates = context.view.updates_to_send(receiver=node_id)
    for update in updates:
        subject.apply_update(update)
    assert subject.incarnation > 100, "the update was not refuted"
    context.view.record_message(node_id, incarnation=subject.incarnation)


@when("{node_id} announces that it is leaving")
def announce_leaving(context, node_id):
    context.view.apply_update(MembershipUpdate(node_id, 101, MemberState.LEAVING))


@when("a message from {node_id} arrives with its old incarnation")
def receive_old(context, node_id):
    context.view.record_message(node_id, incarnation=101)


@when("a message from {node_id} arrives with a higher incarnation")
def receive_new(context, node_id):
    context.view.record_message(node_id, incarnation=200)


@when("the list shows {node_id} leaving and then live again")
def list_flaps(context, node_id):
    leaving = [node for node in context.nodes if node.node_id == node_id]
    live = [node for node in context.nodes if node.node_id != node_id]
    context.view.apply_host_list(live=live, leaving=leaving)
    assert context.view.state(node_id) is MemberState.LEAVING
    context.view.apply_host_list(live=context.nodes, leaving=[])


@when("{node_id} is suspected")
def suspect(context, node_id):
    context.view.suspect(node_id)


@then("{node_id} is probed next")
def check_next(context, node_id):
    assert context.view.next_probe().node_id == node_id


@then("{node_id} is {state} in the view")
def check_state(context, node_id, state):
    assert context.view.state(node_id) is MemberState[state.upper()]
    alive = {node.node_id for node in context.view.alive()}
    assert (node_id in alive) == (state == "alive")


@then("the update on {node_id} is sent to others")
def check_sent(context, node_id):
    updates = context.view.updates_to_send(receiver="node-5")
    assert MembershipUpdate(node_id, 100, MemberState.DOWN) in updates


@then("{count:d} turns of probing reach every node, including {node_id}")
def check_probes(context, count, node_id):
    probed = {context.view.next_probe().node_id for _ in range(count)}
    assert probed == {node.node_id for node in context.nodes[1:]}


@when("the local node begins to leave")
def leave(context):
    context.view.begin_leaving()


@then("a message to each of {count:d} peers contains the update")
def check_all_informed(context, count):
    peers = context.view.sample(256)
    assert len(set(peers)) == count
    local_id = context.view.local_node.node_id
    for peer in peers:
        updates = context.view.updates_to_send(receiver=peer.node_id)
        assert MembershipUpdate(local_id, 101, MemberState.LEAVING) in updates, peer


ROUNDS_PER_S = 4


class ProbingFleet:
    """Fleet whose nodes probe each other in rounds; killed nodes do not answer."""

    def __init__(self, count):
        self.nodes = [make_node(number) for number in range(count)]
        self.views = {
            node.node_id: make_seeded_view(self.nodes, node, seed)
            for seed, node in enumerate(self.nodes)
        }
        self.killed = set()

    def run_round(self):
        for node_id, view in self.views.items():
            if node_id in self.killed:
                continue
            peer = view.next_probe()
            if peer.node_id in self.killed:
                view.record_missed_probe(peer.node_id)
                continue
            self.exchange(view, self.views[peer.node_id])
            self.exchange(self.views[peer.node_id], view)

    def exchange(self, sender, receiver):
        receiver.record_message(
            sender.local_node.node_id, incarnation=sender.incarnation
        )
        for update in sender.updates_to_send(receiver=receiver.local_node.node_id):
            receiver.apply_update(update)

    def nodes_with_killed_alive(self):
        return [
            node_id
            for node_id, view in self.views.items()
            if node_id not in self.killed
            and self.killed & {node.node_id for node in view.confirmed_alive()}
        ]


def make_seeded_view(nodes, own, seed):
    view = Membership(local_node=own, incarnation=100, rng=Random(seed))
    view.apply_host_list(live=nodes, leaving=[])
    for node in nodes:
        if node != own:
            view.record_message(node.node_id, incarnation=100)
    return view


@given("{count:d} nodes that probe each other four times a second")
def given_probing(context, count):
    context.fleet = ProbingFleet(count)


@when("{count:d} of them are killed at the same moment")
def kill(context, count):
    node_ids = [
        node.node_id for node in context.fleet.nodes if node.node_id != "node-0"
    ]
    context.fleet.killed = set(node_ids[:count])


@then("after {seconds:d} s no other node counts any of them as alive")
def check_detected(context, seconds):
    for _ in range(seconds * ROUNDS_PER_S):
        context.fleet.run_round()
    assert context.fleet.nodes_with_killed_alive() == []
