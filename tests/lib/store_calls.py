"""Driving of the store's clients, without a store."""


def run_calls(client, answers, now=0):
    """Answer each call in turn; return the calls, the next one included."""
    calls = []
    for answer in answers:
        now = max(now, client.due_at)
        call = client.next_call().call
        calls.append(call)
        client.on_answer(call, answer, now)
    return [*calls, getattr(client.next_call(), "call", None)]
