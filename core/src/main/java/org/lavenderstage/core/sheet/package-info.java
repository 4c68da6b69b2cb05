/** The operators' sheet: its rows, checks and versions. */
package org.lavenderstage.core.sheet;
