"""Command `python -m foxtailwell_soak`, which runs soak tests and reports violations."""

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


@cappa.command(name="soak", help="Run randomized soak tests of real instances.")
@dataclass(frozen=True)
class Soak:
    """Options of the command; one soak test runs per seed."""

    seeds: Annotated[int, cappa.Arg(long=True, help="Number of random seeds.")] = 5
    seed: Annotated[int, cappa.Arg(long=True, help="Run only this seed; 0 draws seeds.")] = 0
    jobs: Annotated[int, cappa.Arg(long=True, help="Soak tests that run at once.")] = 2
    length_s: Annotated[float, cappa.Arg(long=True, help="Seconds in which faults start.")] = 12.0
    instances: Annotated[int, cappa.Arg(long=True, help="Instances per soak test.")] = 3
    workers: Annotated[int, cappa.Arg(long=True, help="Workers per soak test.")] = 8

    waves: Annotated[
        bool, cappa.Arg(long="--waves/--no-waves", help="Whether many workers crash at once.")
    ] = True
    large_job: Annotated[
        bool, cappa.Arg(long=True, help="Whether a job of many steps is submitted as well.")
    ] = False
    quiet: Annotated[
        bool, cappa.Arg(long=True, help="Only such crashes, while most workers are idle.")
    ] = False

    def __call__(self) -> None:
        """Run the soak tests; the exit code is 1 if there was a violation."""
        seeds = [self.seed] if self.seed else [secrets.randbits(32) for _ in range(self.seeds)]
        with ProcessPoolExecutor(self.jobs) as pool:
            results = list(pool.map(self._run_one, seeds))
        failed = [result for result in results if result.violations]
        print(f"{len(results) - len(failed)} passed, {len(failed)} failed")
        sys.exit(1 if failed else 0)

    def _run_one(self, seed: int) -> SoakResult:
        directory = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        start_s = time.monotonic()
        result = run_soak(
            seed,
            directory,
            length_s=self.length_s,
            instance_count=self.instances,
            worker_count=self.workers,
            has_crash_waves=self.waves,
            has_large_job=self.large_job,
            is_quiet=self.quiet,
        )
        verdict = "failed" if result.violations else "passed"
        print(
            f"seed {seed}: {verdict}, {result.accepted} jobs, {result.runs} runs, "
            f"{len(result.faults)} faults, {time.monotonic() - start_s:.0f} s, logs in {directory}",
            flush=True,
        )
        if result.violations:
            report = (*result.faults, *result.processes, *result.violations)
            print("\n".join(report), flush=True)
        return result


if __name__ == "__main__":
    cappa.invoke(Soak)
