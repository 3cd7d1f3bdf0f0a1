"""Command that runs soaks by hand."""

from __future__ import annotations

import secrets
import sys
import tempfile
import time
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from foxtailwell_soak._run import SoakResult, run_soak


@cappa.command(name="soak", help="Run randomized soaks of real instances.")
@dataclass(frozen=True)
class Soak:
    """Run one soak a seed, some at a time."""

    seeds: Annotated[int, cappa.Arg(long=True, help="Number of fresh seeds.")] = 5
    seed: Annotated[int, cappa.Arg(long=True, help="One seed to run instead.")] = 0
    jobs: Annotated[int, cappa.Arg(long=True, help="Soaks at a time.")] = 2
    length_s: Annotated[float, cappa.Arg(long=True, help="Seconds in which faults begin.")] = 12.0
    instances: Annotated[int, cappa.Arg(long=True, help="Instances of a soak.")] = 3
    workers: Annotated[int, cappa.Arg(long=True, help="Workers of a soak.")] = 8

    def __call__(self) -> None:
        """Run the soaks; the exit code is 1 when a promise was broken."""
        seeds = [self.seed] if self.seed else [secrets.randbits(32) for _ in range(self.seeds)]
        with ProcessPoolExecutor(self.jobs) as pool:
            results = list(pool.map(self._run_one, seeds))
        broken = [result for result in results if result.violations]
        print(f"{len(results) - len(broken)} passed, {len(broken)} failed")
        sys.exit(1 if broken else 0)

    def _run_one(self, seed: int) -> SoakResult:
        directory = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        began_s = time.monotonic()
        result = run_soak(
            seed,
            directory,
            length_s=self.length_s,
            instance_count=self.instances,
            worker_count=self.workers,
        )
        verdict = "broken" if result.violations else "kept"
        print(
            f"seed {seed}: {verdict}, {result.accepted} jobs, {result.runs} runs, "
            f"{len(result.faults)} faults, {time.monotonic() - began_s:.0f} s, logs in {directory}",
            flush=True,
        )
        if result.violations:
            print("\n".join((*result.faults, *result.violations)), flush=True)
        return result


if __name__ == "__main__":
    cappa.invoke(Soak)
