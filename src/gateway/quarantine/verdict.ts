/** Call that was open at a server when it ended, and whose answer had not gone on. */
export interface SuspectRun {
  /** Keys of the prompt parts that other requests may share, in their order, and then of the whole prompt. */
  readonly keys: readonly string[];
  /** Monotonic time in ms at which the call was written. */
  readonly sentAt: number;
}

/** End of one incarnation of a server, with the suspect runs of all gateways. */
export interface ServerEnd {
  readonly incarnation: string;
  /** Monotonic time in ms. */
  readonly at: number;
  readonly runs: readonly SuspectRun[];
}

/** What is known of one part besides the ends. */
export interface PartRecord {
  /** Monotonic time in ms at which an answer on it last went on or was complete; `-Infinity` where none is known. */
  readonly provenAt: number;
  readonly isQuarantined: boolean;
}

/** Number of ends, one after another, from which a part that was never seen to work is taken for their cause. */
const ENDS_OF_UNPROVEN = 2;

/** The same where several parts explain the ends equally well. */
const ENDS_OF_AMBIGUOUS = 3;

/** The same for a part that was seen to work a short time before. */
const ENDS_OF_PROVEN = 4;

/** First character of the id of a whole prompt; those of its parts are hexadecimal. */
export const WHOLE_PROMPT_MARK = '*';

/** Time in ms for which a proof makes it unlikely that a part crashes servers. */
const PROOF_TTL_MS = 60_000;

/** Calls with one part that were open at one end. */
interface Occurrence {
  readonly end: ServerEnd;
  /** Monotonic time in ms at which the last of them was written. */
  readonly sentAt: number;
}

interface Candidate {
  readonly key: string;
  readonly ends: readonly ServerEnd[];
  /** Position of the part in each call of these ends that has it. */
  readonly positions: ReadonlyMap<SuspectRun, number>;
}

/** Occurrences of each part that may explain an end, in the order of the ends. */
function occurrencesByKey(
  ends: readonly ServerEnd[],
  mayExplain: (key: string, end: ServerEnd) => boolean,
): ReadonlyMap<string, readonly Occurrence[]> {
  const byKey = new Map<string, Occurrence[]>();
  for (const end of ends) {
    for (const { keys, sentAt } of end.runs) {
      for (const key of keys.filter((candidate) => mayExplain(candidate, end))) {
        const occurrences = byKey.get(key) ?? [];
        byKey.set(key, occurrences);
        const earlier = occurrences.at(-1)?.end === end ? occurrences.pop() : undefined;
        occurrences.push({ end, sentAt: Math.max(sentAt, earlier?.sentAt ?? -Infinity) });
      }
    }
  }
  return byKey;
}

/**
 * Ends under a part since it was last seen to work. An end counts only if a call with the part was sent after the one
 * before, so that servers that end at the same moment, as with their host, count once.
 */
function countedEnds(occurrences: readonly Occurrence[], provenAt: number): readonly ServerEnd[] {
  const counted: ServerEnd[] = [];
  for (const { end, sentAt } of occurrences) {
    if (end.at > provenAt && sentAt >= (counted.at(-1)?.at ?? -Infinity)) counted.push(end);
  }
  return counted;
}

function isWholePrompt(key: string): boolean {
  return key.startsWith(WHOLE_PROMPT_MARK, key.lastIndexOf('/') + 1);
}

/** Whole prompts with a part that were open at each of its ends. */
function promptsByEnd({ ends, positions }: Candidate): readonly ReadonlySet<string>[] {
  return ends.map(({ runs }) => new Set(
    runs.filter((run) => positions.has(run)).map(({ keys }) => keys.at(-1) ?? '').filter(isWholePrompt),
  ));
}

/**
 * Whether a part is suspect although whole prompts with it may explain its ends. One prompt that was open at several of
 * them must leave as many ends unexplained as a part needs by itself, or one under another prompt that has as many ends
 * of its own.
 */
function isSuspectBesidePrompts(
  candidate: Candidate,
  needed: number,
  endsOfPrompts: ReadonlyMap<string, readonly ServerEnd[]>,
): boolean {
  if (isWholePrompt(candidate.key)) return true;
  const prompts = promptsByEnd(candidate);
  const counts = new Map<string, number>();
  for (const prompt of prompts.flatMap((open) => [...open])) counts.set(prompt, (counts.get(prompt) ?? 0) + 1);
  const isRepeated = (prompt: string): boolean => (endsOfPrompts.get(prompt)?.length ?? 0) >= needed;
  return [...counts].filter(([, count]) => count > 1).every(([repeated]) => {
    const others = prompts.filter((open) => !open.has(repeated));
    return others.length >= needed || others.some((open) => [...open].some(isRepeated));
  });
}

/** Whether each call with the part has the other one before it, so that at least as many requests have the other. */
function isNarrower({ positions }: Candidate, { positions: others }: Candidate): boolean {
  return [...positions].every(([run, position]) => (others.get(run) ?? Infinity) < position);
}

/** Positions of the given parts in the calls that were open at the given ends. */
function positionsByKey(
  ends: readonly ServerEnd[],
  wanted: ReadonlySet<string>,
): ReadonlyMap<string, ReadonlyMap<SuspectRun, number>> {
  const byKey = new Map([...wanted].map((key) => [key, new Map<SuspectRun, number>()]));
  for (const run of ends.flatMap(({ runs }) => runs)) {
    run.keys.forEach((key, position) => {
      const positions = byKey.get(key);
      if (positions !== undefined && !positions.has(run)) positions.set(run, position);
    });
  }
  return byKey;
}

function findCandidates(
  ends: readonly ServerEnd[],
  parts: ReadonlyMap<string, PartRecord>,
  mayExplain: (key: string, end: ServerEnd) => boolean,
): readonly Candidate[] {
  const newestEndAt = ends.at(-1)?.at ?? -Infinity;
  const provenAt = (key: string): number => parts.get(key)?.provenAt ?? -Infinity;
  const endsOfPrompts = new Map([...occurrencesByKey(ends, isWholePrompt)].map(([key, occurrences]) => (
    [key, countedEnds(occurrences, provenAt(key))]
  )));
  const countedByKey = new Map<string, readonly ServerEnd[]>();
  const neededByKey = new Map<string, number>();
  for (const [key, occurrences] of occurrencesByKey(ends, mayExplain)) {
    const needed = newestEndAt - provenAt(key) < PROOF_TTL_MS ? ENDS_OF_PROVEN : ENDS_OF_UNPROVEN;
    const counted = countedEnds(occurrences, provenAt(key));
    if (counted.length < needed) continue;
    countedByKey.set(key, counted);
    neededByKey.set(key, needed);
  }
  const positions = positionsByKey(ends, new Set(countedByKey.keys()));
  return [...countedByKey].map(([key, counted]) => {
    const isCounted = new Set(counted.flatMap(({ runs }) => runs));
    const inCounted = [...positions.get(key) ?? []].filter(([run]) => isCounted.has(run));
    return { key, ends: counted, positions: new Map(inCounted) };
  }).filter((candidate) => (
    isSuspectBesidePrompts(candidate, neededByKey.get(candidate.key) ?? Infinity, endsOfPrompts)
  ));
}

/**
 * Of the candidates that are parts of the same calls, the one that stands last in them. A long prompt that comes twice
 * makes all its parts candidates, and comparing each with each would take seconds.
 */
function lastOfSameCalls(candidates: readonly Candidate[]): readonly Candidate[] {
  const numbers = new Map<SuspectRun, number>();
  const bySignature = new Map<string, Candidate>();
  for (const candidate of candidates) {
    const runs = [...candidate.positions.keys()];
    for (const run of runs) if (!numbers.has(run)) numbers.set(run, numbers.size);
    const signature = runs.map((run) => numbers.get(run)).join();
    const known = bySignature.get(signature);
    if (known === undefined || isNarrower(candidate, known)) bySignature.set(signature, candidate);
  }
  return [...bySignature.values()];
}

/** The candidates that explain most ends; of nested parts, only the narrowest one. */
function likeliestOf(candidates: readonly Candidate[]): readonly Candidate[] {
  const most = Math.max(...candidates.map(({ ends }) => ends.length));
  const likeliest = lastOfSameCalls(candidates.filter(({ ends }) => ends.length === most));
  return likeliest.filter((candidate) => (
    !likeliest.some((other) => other !== candidate && isNarrower(other, candidate))
  ));
}

/** Keys of the runs at each end that satisfy `isWanted`. */
function keysOfRuns(
  ends: readonly ServerEnd[],
  isWanted: (run: SuspectRun) => boolean,
): ReadonlyMap<ServerEnd, readonly ReadonlySet<string>[]> {
  return new Map(ends.map((end) => [end, end.runs.filter(isWanted).map(({ keys }) => new Set(keys))]));
}

/**
 * Keys of the parts that are the most likely cause of servers' ends and are not in quarantine yet. Of the parts that
 * explain as many ends, the narrowest one is chosen, because it keeps out the fewest requests. Ends that a part in
 * quarantine explains do not count against others. For whole prompts, only ends until `settledAt`, in ms, count,
 * because the calls of other gateways at later ones may not be known yet.
 */
export function findCauses(
  ends: readonly ServerEnd[],
  parts: ReadonlyMap<string, PartRecord>,
  settledAt = Infinity,
): readonly string[] {
  const causes = new Set<string>();
  const isCause = (key: string): boolean => causes.has(key) || parts.get(key)?.isQuarantined === true;
  const explains = (isExplained: (key: string) => boolean) => ({ runs }: ServerEnd): boolean => (
    runs.some(({ keys }) => keys.some(isExplained))
  );
  const explainsByPart = explains((key) => isCause(key) && !isWholePrompt(key));
  const explainsByAny = explains(isCause);
  let unexplainedByParts = [...ends].sort((left, right) => left.at - right.at);
  while (true) {
    unexplainedByParts = unexplainedByParts.filter((end) => !explainsByPart(end));
    const unexplained = unexplainedByParts.filter((end) => !explainsByAny(end));
    // An end that whole prompts explain still counts for their parts, but not for those of other prompts beside them.
    const explaining = keysOfRuns(unexplainedByParts, ({ keys }) => keys.some(isCause));
    const isPartOfCause = (key: string, end: ServerEnd): boolean => {
      const prompts = explaining.get(end) ?? [];
      return prompts.length === 0 || prompts.some((keys) => keys.has(key));
    };
    const likeliest = likeliestOf([
      ...findCandidates(unexplained, parts, (key, { at }) => isWholePrompt(key) && at <= settledAt),
      ...findCandidates(unexplainedByParts, parts, (key, end) => !isWholePrompt(key) && isPartOfCause(key, end)),
    ]);
    const certain = likeliest.filter((candidate) => (
      candidate.ends.length >= ENDS_OF_AMBIGUOUS
      || !likeliest.some((other) => other !== candidate && other.ends.some((end) => candidate.ends.includes(end)))
    ));
    if (certain.length === 0) return [...causes];
    for (const { key } of certain) causes.add(key);
  }
}
