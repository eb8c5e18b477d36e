"""Proofs in which instances are killed, paused or told to leave."""

import signal

from scenario import scenario


def any_holder(run):
    """A random instance that holds servers with keys."""
    def holds_keys(instance):
        return any(item["server"].startswith("kartlas-")
                   for item in instance.status()["held"])
    return run.random.choice(
        [i for i in run.deployment.instances if holds_keys(i)])


@scenario("instance-killed", short=True)
def instance_killed(run):
    """P11: an instance is killed under load."""
    victim = any_holder(run)
    run.note(f"killed {victim.name}")
    run.kill(victim)
    run.served_again()
    run.serve_for(3.0)
    run.wait(run.deployment.settled, "the others hold all servers")


@scenario("instance-paused")
def instance_paused(run):
    """P1, P11: a holder sleeps past its lease and must not resume it."""
    victim = any_holder(run)
    before = victim.status()["incarnation"]
    run.note(f"paused {victim.name}")
    run.loss(instance=victim.name)
    victim.process.signal(signal.SIGSTOP)
    run.serve_for(3.0)
    victim.process.signal(signal.SIGCONT)

    def is_back():
        status = victim.status()
        return (status and status["lease_held"]
                and status["incarnation"] > before)

    run.wait(is_back, f"{victim.name} has a new incarnation")
    run.served_again()


def leave(run, instance):
    """Sends SIGTERM and waits until the process has ended."""
    start = run.now()
    instance.process.signal(signal.SIGTERM)
    run.wait(lambda: not instance.running(), f"{instance.name} exits")
    run.history.add("shutdown", start, run.now(), instance=instance.name)
    code = instance.process.exit_code()
    run.require(code == 0, f"{instance.name} ended with {code}, expected 0")
    return (run.now() - start) / 1e9


@scenario("graceful-shutdown", short=True)
def graceful_shutdown(run):
    """P9: no request is cut when one instance leaves under load."""
    seconds = leave(run, any_holder(run))
    run.note(f"left in {seconds:.1f} s")
    run.served_again()
    run.uncut()


@scenario("rolling-restart")
def rolling_restart(run):
    """P9, P11: all instances restart one after the other under load."""
    longest = 0.0
    for instance in run.deployment.instances:
        longest = max(longest, leave(run, instance))
        instance.start()
        run.wait(instance.ready, f"{instance.name} is ready again")
        run.wait(run.deployment.settled, "all servers have a holder")
    run.note(f"slowest exit {longest:.1f} s")
    run.served_again()
    run.uncut()
