"""During an upgrade, an id that one process has taken is not served by the other."""

from __future__ import annotations

from tests.loopback import running, wait_for
from tests.node.test_repeated_ids import Held, runs


def test_an_id_that_the_old_process_holds_is_not_served_by_the_new_one() -> None:
    held = Held()
    with running(held, held, ops=True) as node:
        client = node.client()
        client.send(client.head("crew", X_Call_Id="old"))
        wait_for(lambda: runs(node, "old"))
        node.second()
        wait_for(lambda: "hand-over" in node.log.read_text() or node.client().ask("look", budget="1m").status)
        assert node.client().ask("crew", X_Call_Id="old").status == 409
        held.open.set()
        assert client.read().status == 200
        assert runs(node, "old") == 1


def test_an_id_that_the_new_process_holds_is_not_served_by_the_old_one() -> None:
    held = Held()
    with running(held, held, held, ops=True) as node:
        kept = node.client()  # stays with the old process while its request is open
        kept.send(kept.head("crew", X_Call_Id="first"))
        wait_for(lambda: runs(node, "first"))
        node.second()
        client = node.client()
        client.send(client.head("crew", X_Call_Id="new"))
        wait_for(lambda: runs(node, "new"))
        kept.send(kept.head("crew", X_Call_Id="new"))
        held.open.set()
        assert [kept.read().status, kept.read().status, client.read().status] == [200, 409, 200]
        assert runs(node, "new") == 1
