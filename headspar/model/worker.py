"""``python -P headspar/model/worker.py TREE``: executes runs of one version, one line of JSON per task and result.

The script is started by path, because the ``headspar`` package has to be imported from the version's tree.

Input: ``{"scenario", "seed", "settings", "connections", "costs", "policy"}``, where ``policy`` is optional.  Output:
an ``Outcome``.  Any exception, including one raised by the version's own code, is reported as the run's crash, and
the process continues with the next task.
"""

from __future__ import annotations

import importlib.util
import json
import sys
import time
from pathlib import Path


def run(line: str) -> bytes:
    """Executes one run.  The version's modules are not imported before the first call."""
    import msgspec

    started = time.perf_counter()
    try:
        from headspar.model.costs import Costs
        from headspar.model.figures import Outcome, outcome
        from headspar.model.simulate import Tuning, simulate
        from headspar.world.scenario import from_json
    except Exception as error:  # the version lacks a name that the model imports
        crash = f"{type(error).__name__}: {error}"
        return msgspec.json.encode({"crash": crash[:500], "took_s": time.perf_counter() - started})
    try:
        task = json.loads(line)
        tuning = Tuning(task["settings"], task["connections"], task.get("policy", ""))
        result = simulate(from_json(json.dumps(task["scenario"])), task["seed"], tuning,
                          msgspec.convert(task["costs"], Costs))
        return msgspec.json.encode(outcome(result, time.perf_counter() - started))
    except Exception as error:
        frame = error.__traceback__
        while frame is not None and frame.tb_next is not None:
            frame = frame.tb_next
        where = f" ({Path(frame.tb_frame.f_code.co_filename).name}:{frame.tb_lineno})" if frame is not None else ""
        crash = f"{type(error).__name__}: {error}{where}"
        return msgspec.json.encode(Outcome(crash=crash[:500], took_s=time.perf_counter() - started))


def main() -> int:
    path = Path(__file__).resolve().with_name("versions.py")
    spec = importlib.util.spec_from_file_location("versions_by_path", path)
    assert spec is not None and spec.loader is not None
    versions = importlib.util.module_from_spec(spec)
    sys.modules[spec.name] = versions
    spec.loader.exec_module(versions)
    versions.install(Path(sys.argv[1]))
    for line in sys.stdin:
        sys.stdout.buffer.write(run(line) + b"\n")
        sys.stdout.buffer.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
