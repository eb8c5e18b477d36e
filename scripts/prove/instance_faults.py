"""Proofs in which instances are killed, paused or shut down."""

import signal

from scenario import scenario


def choose_key_holder(run):
    """Returns a random instance that holds servers with keys."""
    def holds_keys(instance):
        return any(grant["server"].startswith("kartlas-")
                   for grant in instance.status()["held"])
    return run.random.choice(
        [i for i in run.deployment.instances if holds_keys(i)])


@scenario("instance-killed", short=True)
def instance_killed(run):
    """P11: an instance is killed under load."""
    victim = choose_key_holder(run)
    run.record_figure(f"killed {victim.name}")
    run.kill(victim)
    run.wait_until_served()
    run.run_load_for(3.0)
    run.wait(run.deployment.is_settled, "the other instances hold all servers")


@scenario("instance-paused")
def instance_paused(run):
    """P1, P11: a holder is paused past the end of its lease and must not resume
    that lease."""
    victim = choose_key_holder(run)
    before = victim.status()["incarnation"]
    run.record_figure(f"paused {victim.name}")
    run.record_loss(instance=victim.name)
    victim.process.signal(signal.SIGSTOP)
    run.run_load_for(3.0)
    victim.process.signal(signal.SIGCONT)

    def is_back():
        status = victim.status()
        return (status and status["lease_held"]
                and status["incarnation"] > before)

    run.wait(is_back, f"{victim.name} has a new incarnation")
    run.wait_until_served()


def shut_down(run, instance):
    """Sends SIGTERM, waits for the exit and returns its duration in seconds."""
    start = run.now()
    instance.process.signal(signal.SIGTERM)
    run.wait(lambda: not instance.running(), f"{instance.name} exits")
    run.history.add("shutdown", start, run.now(), instance=instance.name)
    code = instance.process.exit_code()
    run.require(code == 0,
                f"{instance.name} exited with code {code}, expected 0")
    return (run.now() - start) / 1e9


@scenario("graceful-shutdown", short=True)
def graceful_shutdown(run):
    """P9: no request is lost when one instance shuts down under load."""
    seconds = shut_down(run, choose_key_holder(run))
    run.record_figure(f"exited in {seconds:.1f} s")
    run.wait_until_served()
    run.require_no_lost_requests()


@scenario("rolling-restart")
def rolling_restart(run):
    """P9, P11: all instances restart one after the other under load."""
    longest = 0.0
    for instance in run.deployment.instances:
        longest = max(longest, shut_down(run, instance))
        instance.start()
        run.wait(instance.ready, f"{instance.name} is ready again")
        run.wait(run.deployment.is_settled, "all servers have a holder")
    run.record_figure(f"slowest exit {longest:.1f} s")
    run.wait_until_served()
    run.require_no_lost_requests()
