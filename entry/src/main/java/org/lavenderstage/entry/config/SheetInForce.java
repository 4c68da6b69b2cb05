package org.lavenderstage.entry.config;

import org.lavenderstage.core.sheet.Sheet;

/**
 * The sheet that this entry acts on.
 *
 * @param version number of the version, 0 before the first
 * @param sheet the checked sheet
 */
public record SheetInForce(long version, Sheet sheet) {}
