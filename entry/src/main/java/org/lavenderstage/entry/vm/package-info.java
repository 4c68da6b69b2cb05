/** The platform's VM list. */
package org.lavenderstage.entry.vm;
