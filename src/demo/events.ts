/** Fields of a refusal, as a caller receives them. */
export interface RefusalFields {
  readonly code: string;
  readonly ran: string;
  readonly retry_after_ms?: number;
  readonly resumable?: boolean;
}

/** Part of a streamed answer that a caller has received so far. */
export interface StreamProgress {
  text: string;
  tokens: number;
  lastEventId: string | null;
  firstTokenAt: number | null;
  done: boolean;
  /** Refusal with which the entry ended the stream. */
  refusal: RefusalFields | null;
}

interface Chunk {
  readonly choices?: readonly { readonly text: string }[];
  readonly error?: RefusalFields;
}

/** Applies one server-sent event to the progress of its stream. */
export function applyEvent(event: string, progress: StreamProgress): void {
  const received = progress;
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
