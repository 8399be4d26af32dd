/** Problem found in settings, a fleet file or a message. `path` is section and key. */
export type Issue = | { readonly code: 'unknown_key'; readonly path: readonly string[]; readonly accepted: readonly string[] }
    | { readonly code: 'duplicate_key'; readonly path: readonly string[] }
    | { readonly code: 'missing'; readonly path: readonly string[]; readonly expected: string }
    | { readonly code: 'invalid_value'; readonly path: readonly string[]; readonly found: string; readonly expected: string }
    | { readonly code: 'unknown_reference'; readonly path: readonly string[]; readonly found: string; readonly accepted: readonly string[] }
    | { readonly code: 'too_large'; readonly path: readonly string[]; readonly bytes: number; readonly limitBytes: number };
