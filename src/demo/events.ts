/** Refusal as a caller receives it. */
export interface RefusalFields {
  readonly code: string;
  readonly ran: string;
  readonly retry_after_ms?: number;
  readonly resumable?: boolean;
}

/** What a caller has received of one answer. */
export interface Position {
  text: string;
  tokens: number;
  lastEventId: string | null;
  firstTokenAt: number | null;
  done: boolean;
  /** Why the entry stopped the stream. */
  refusal: RefusalFields | null;
}

interface Chunk {
  readonly choices?: readonly { readonly text: string }[];
  readonly error?: RefusalFields;
}

/** Adds one server-sent event to a position. */
export function readEvent(event: string, position: Position): void {
  const received = position;
  for (const line of event.split('\n')) {
    if (line.startsWith('id: ')) received.lastEventId = line.slice(4);
    if (line === 'data: [DONE]') received.done = true;
    else if (line.startsWith('data: ')) {
      const chunk = JSON.parse(line.slice(6)) as Chunk;
      const text = chunk.choices?.[0]?.text ?? '';
      if (chunk.error !== undefined) received.refusal = chunk.error;
      if (text !== '') {
        received.text += text;
        received.tokens += 1;
        received.firstTokenAt ??= performance.now();
      }
    }
  }
}
